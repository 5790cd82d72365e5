#pragma once

#include "base/result.h"

#include <memory>
#include <string>

namespace boost::asio::ssl {
class context;
}

namespace ragworthinge {

/// Certificate and private key of this host. They can be reloaded while connections are open: new connections use the
/// new pair, open ones keep theirs.
class tls_identity {
public:
    /// PEM files. If `authority_file` is set, the peer must present a certificate signed by that CA.
    struct files {
        std::string certificate_file;
        std::string key_file;
        std::string authority_file;
    };

    /// Loads the files; fails with invalid_argument if one is unusable or if certificate and key do not match.
    static result<std::shared_ptr<tls_identity>> load(files sources);

    /// Loads the same files again. After an error the previous pair stays in use.
    result<void> reload();

    /// TLS context for new connections.
    std::shared_ptr<boost::asio::ssl::context> context() const { return m_context; }

private:
    explicit tls_identity(files sources) : m_files(std::move(sources)) {}

    files m_files;
    std::shared_ptr<boost::asio::ssl::context> m_context;
};

} // namespace ragworthinge
