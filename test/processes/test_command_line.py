"""Tests of the command line: help, validation of input files, and exit codes."""

import json
import pathlib
import subprocess
import tempfile
import unittest

from support import BUILD, ROOT

SUCCESS = 0
UNAVAILABLE = 1
BAD_INPUT = 2


def run(*arguments):
    result = subprocess.run([str(BUILD / "egretlatch"), *arguments], capture_output=True, text=True, timeout=60, check=False)
    return result.returncode, result.stdout, result.stderr


class CommandLine(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()

    def tearDown(self):
        self.folder.cleanup()

    def write(self, document):
        path = pathlib.Path(self.folder.name) / "document.json"
        path.write_text(document if isinstance(document, str) else json.dumps(document))
        return str(path)

    def test_each_subcommand_has_help_with_an_example(self):
        code, text, _ = run("--help")
        self.assertEqual(SUCCESS, code)
        self.assertIn("Exit codes", text)
        for subcommand in ("daemon", "check", "submit", "status", "explain", "keys", "version"):
            with self.subTest(subcommand=subcommand):
                code, text, _ = run(subcommand, "--help")
                self.assertEqual(SUCCESS, code)
                self.assertIn("Example", text)

    def test_a_wrong_command_line_is_bad_input(self):
        for arguments in ([], ["fly"], ["daemon"], ["check"], ["check", "--colour", "red"]):
            with self.subTest(arguments=arguments):
                self.assertEqual(BAD_INPUT, run(*arguments)[0])

    def test_the_examples_have_no_errors(self):
        for example in sorted((ROOT / "examples").glob("*.json")):
            with self.subTest(example=example.name):
                code, _, errors = run("check", "--manifest", str(example))
                self.assertEqual((SUCCESS, ""), (code, errors))

    def test_all_errors_in_settings_are_reported_at_once_and_nothing_starts(self):
        path = self.write({"id": "", "callerPort": "8000", "peerPort": 0, "backendUrl": "ftp://x", "colour": "red"})
        for subcommand in ("check", "daemon"):
            with self.subTest(subcommand=subcommand):
                code, _, errors = run(subcommand, "--settings", path)
                self.assertEqual(BAD_INPUT, code)
                for pointer in ("/id", "/dataCentre", "/callerPort", "/peerPort", "/backendUrl", "/colour"):
                    self.assertIn(f"{path}: {pointer}: error: found", errors)

    def test_a_file_that_is_missing_or_not_json_is_named(self):
        self.assertEqual(BAD_INPUT, run("check", "--settings", "/nonexistent/settings.json")[0])
        code, _, errors = run("check", "--manifest", self.write('{"services": ['))
        self.assertEqual(BAD_INPUT, code)
        self.assertIn("not JSON at byte", errors)

    def test_an_address_that_cannot_be_bound_is_reported_at_start(self):
        settings = {"id": "a", "dataCentre": "d", "callerPort": 1, "peerPort": 2, "listenAddress": "192.0.2.1",
                    "backendUrl": "http://127.0.0.1:9", "peerEncryption": "off", "operatorAccess": "open"}
        code, _, errors = run("daemon", "--settings", self.write(settings))
        self.assertEqual(UNAVAILABLE, code)
        self.assertIn("192.0.2.1", errors)


if __name__ == "__main__":
    unittest.main()
