#include "net/tls_identity.h"

#include <boost/asio/ssl/context.hpp>

#include <openssl/ssl.h>

#include <utility>

namespace ragworthinge {

namespace {

namespace ssl = boost::asio::ssl;

result<std::shared_ptr<ssl::context>> load_context(const tls_identity::files& sources) {
    auto context = std::make_shared<ssl::context>(ssl::context::tls);
    context->set_options(ssl::context::default_workarounds | ssl::context::no_sslv2 | ssl::context::no_sslv3 |
                         ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1);

    boost::system::error_code failure;
    context->use_certificate_chain_file(sources.certificate_file, failure);
    if (failure)
        return ragworthinge::failure(error_code::invalid_argument,
                                     sources.certificate_file +
                                         ": cannot load the certificate chain: " + failure.message());
    context->use_private_key_file(sources.key_file, ssl::context::pem, failure);
    if (failure)
        return ragworthinge::failure(error_code::invalid_argument,
                                     sources.key_file + ": cannot load the private key: " + failure.message());
    if (SSL_CTX_check_private_key(context->native_handle()) != 1)
        return ragworthinge::failure(error_code::invalid_argument, sources.key_file +
                                                                       ": private key does not match the certificate " +
                                                                       sources.certificate_file);

    if (sources.authority_file.empty())
        return context;
    context->load_verify_file(sources.authority_file, failure);
    if (failure)
        return ragworthinge::failure(error_code::invalid_argument,
                                     sources.authority_file + ": cannot load the CA certificate: " + failure.message());
    context->set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert);
    return context;
}

} // namespace

result<std::shared_ptr<tls_identity>> tls_identity::load(files sources) {
    auto identity = std::shared_ptr<tls_identity>(new tls_identity(std::move(sources)));
    BOOST_OUTCOME_TRYV(identity->reload());
    return identity;
}

result<void> tls_identity::reload() {
    BOOST_OUTCOME_TRY(auto context, load_context(m_files));
    m_context = std::move(context);
    return boost::outcome_v2::success();
}

} // namespace ragworthinge
