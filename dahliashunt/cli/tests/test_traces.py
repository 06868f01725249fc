"""Steps of requests and jobs in folders of logs."""

import json
import pathlib

import pytest

from dahliashunt.cli.exits import Exit
from dahliashunt.cli.main import main
from dahliashunt.cli.trace_lines import find_in_files
from dahliashunt.cli.trace_lines import LONGEST_LINE


def step(event, at, **fields):
    line = {"event": event, "node": "front-1", **fields}
    return json.dumps({**line, "timestamp": f"2026-01-01T00:00:{at:02}Z"})


@pytest.fixture
def logs(tmp_path):
    """Return ``write(name, *lines)``, which fills a folder of logs."""

    def write(name, *lines):
        folder = tmp_path / "logs"
        folder.mkdir(exist_ok=True)
        (folder / name).write_text("\n".join(lines) + "\n")
        return str(folder)

    return write


def trace(capsys, *words):
    code = main(["request", "trace", *map(str, words)])
    return code, capsys.readouterr()


def test_steps_of_several_nodes_come_in_order(logs, capsys):
    logs("b.log", step("served", 2, request_id="abc", replica="i-1"))
    folder = logs(
        "a.log",
        "12.5 front-1 " + step("attempt_ended", 1, request_id="abc"),
        step("served", 1, request_id="other"),
    )
    code, said = trace(capsys, "abc", "--logs", folder)
    assert code == Exit.OK
    assert said.out.index("attempt_ended") < said.out.index("replica=i-1")
    assert "other" not in said.out


def test_a_jobs_items_are_counted_by_data_centre(logs, capsys, tmp_path):
    # The night's archive lot is done, and nobody can tell whether it ran in
    # the old halls or the new one.
    done = [
        step(
            "item_done",
            n,
            job_id="lot",
            request_id=f"i{n}",
            replica=f"r{n % 2}",
            data_centre="old" if n < 4 else "new",
            revokes=0,
        )
        for n in range(5)
    ]
    folder = logs("a.log", step("job_accepted", 0, job_id="lot"), *done)
    plot = tmp_path / "lot.png"
    code, said = trace(
        capsys, "lot", "--job", "--logs", folder, "--plot", str(plot)
    )
    assert code == Exit.OK
    assert "5 items were done, by data centre:" in said.out
    assert "old          4" in said.out
    assert "new          1" in said.out
    assert plot.read_bytes().startswith(b"\x89PNG")


def test_half_written_lines_are_counted(logs, capsys):
    cut = step("served", 1, request_id="abc")[:-20]
    folder = logs("a.log", step("refused", 0, request_id="abc"), cut)
    code, said = trace(capsys, "abc", "--logs", folder)
    assert code == Exit.OK
    assert "1 lines with the id can't be read" in said.out


@pytest.mark.parametrize(
    ("words", "code", "said"),
    [
        (["abc"], Exit.USAGE, "give either --logs or --node"),
        (["abc", "--logs", "none"], Exit.USAGE, "none"),
        (["abc", "--logs", ".", "--plot", "x"], Exit.USAGE, "needs --job"),
    ],
)
def test_bad_input_is_one_clear_line(capsys, words, code, said):
    found, out = trace(capsys, *words)
    assert found == code
    assert said in out.err
    assert out.err.count("\n") == 1


def test_an_id_that_was_never_seen(logs, capsys):
    folder = logs("a.log", step("served", 1, request_id="abc"))
    code, said = trace(capsys, "xyz", "--logs", folder)
    assert code == Exit.NOT_FOUND
    assert said.err == "dahliashunt: no line names xyz\n"


def test_a_line_without_an_end_does_not_fill_the_memory(tmp_path):
    # A disk ran full and one file is a single line of zeros.
    path = tmp_path / "a.log"
    path.write_bytes(b"0" * (3 * LONGEST_LINE) + b"abc")
    read = []
    found = list(find_in_files([path], "abc", read.append))
    assert [len(line) for line in found] == [3]
    assert sum(read) == path.stat().st_size


def test_commands_complete_in_a_shell(capsys):
    assert main(["completion", "bash"]) == Exit.OK
    script = capsys.readouterr().out
    assert "complete -F _dahliashunt dahliashunt" in script
    assert 'route) COMPREPLY=($(compgen -W "explain list"' in script
    assert main(["completion", "zsh"]) == Exit.OK
    assert "bashcompinit" in capsys.readouterr().out
    assert main(["completion", "tcsh"]) == Exit.USAGE


def test_a_jobs_way_reads_as_in_the_golden_session(capsys):
    # To the byte: operators compare these tables with the pages.
    golden = pathlib.Path(__file__).parent / "golden"
    code, said = trace(capsys, "lot", "--job", "--logs", golden / "lot.log")
    assert code == Exit.OK
    assert said.out == (golden / "lot.txt").read_text()
