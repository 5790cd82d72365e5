"""Checks the Python library for operators: `operators_library_check.py BUILD_DIRECTORY`.

Guards against output that differs between runs or hash seeds of the interpreter, that the program rejects, that is not
in the program's canonical form, or that differs from the committed examples.
"""

import os
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = pathlib.Path(sys.argv[1]) / "src" / "ragworthinge"


def run(*command, seed="0"):
    environment = dict(os.environ, PYTHONHASHSEED=seed, PYTHONDONTWRITEBYTECODE="1")
    return subprocess.run(command, env=environment, check=True, capture_output=True, timeout=60).stdout


for name in ("casetas", "magnolia"):
    script = ROOT / "examples" / f"{name}.py"
    committed_output = ROOT / "examples" / f"{name}.json"
    first = run(sys.executable, script, seed="1")
    assert first == run(sys.executable, script, seed="2"), f"{name}: output depends on the hash seed"
    assert first == committed_output.read_bytes(), f"{name}: the committed example is out of date"
    assert run(PROGRAM, "check", committed_output) == b"no findings\n", name
    assert run(PROGRAM, "check", "--print", committed_output) == first, f"{name}: not in canonical form"
    assert run(PROGRAM, "compare", committed_output, committed_output) == b"no differences\n", name

sys.path.insert(0, str(ROOT / "operators" / "python"))
sys.dont_write_bytecode = True
import ragworthinge  # noqa: E402


def build(reverse):
    fleet = ragworthinge.Fleet("order")
    steps = [
        lambda: fleet.region("b", ["b2", "b1"]),
        lambda: fleet.region("a", ["a1"]),
        lambda: fleet.link("b", "a", 10.0),
        lambda: fleet.link("a", "b", 0.1 + 0.2),
        lambda: fleet.client_account("z", 1.5, 2),
        lambda: fleet.client_account("y", 1, 2.25, weight=3.0),
    ]
    for step in reversed(steps) if reverse else steps:
        step()
    return fleet.to_text()


assert build(False) == build(True), "the order of calls changes the output"

# The library and the program must escape strings equally; otherwise the library's output is not canonical.
escaped = ragworthinge.Fleet("quote \" backslash \\ slash / tab \t line \n control \x01 \x1f delete \x7f ñ 漢 😀")
escaped.region("a", ["a1"])
escaped.service("s", [ragworthinge.upstream("u", "10.0.0.1", 80, "a", "a1", 1)])
escaped.route("/", "s", open=True)
escaped.client_account("x", 0.001, 1.25, weight=0.5)
with tempfile.TemporaryDirectory() as directory:
    file = pathlib.Path(directory) / "odd.json"
    file.write_text(escaped.to_text(), encoding="utf-8", newline="")
    assert run(PROGRAM, "check", "--print", file) == file.read_bytes(), "library and program print different text"
try:
    ragworthinge.Fleet().client_account("a", 0.0001, 1)
    raise SystemExit("a number with four decimals was accepted")
except ValueError:
    pass
print("operators' library: passed")
