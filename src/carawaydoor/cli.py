"""``carawaydoor``: the command-line tool for operators."""

from __future__ import annotations

import http.client
import json
import pathlib
import sys
from typing import Annotated, Any

import cyclopts

from carawaydoor import release
from carawaydoor.coordination import replay
from carawaydoor.interface import authentication
from carawaydoor.operating import exit_codes, http_responses
from carawaydoor.platform import platform_settings
from carawaydoor.publishing import (
    catalog,
    config_objects,
    configuration_report,
    findings,
    revisions,
    yaml_documents,
)

STATUS_TIMEOUT_S = 5.0
MANIFEST_FILE_NAME = "manifest.json"
PARTS_DIRECTORY_NAME = "parts"
# Of the machines on which instances run.
SMALLEST_MEMORY_MB = 88
# Default of quotaWindowS in the platform's settings.
QUOTA_WINDOW_S = 8.0
BYTES_PER_MB = 1_000_000

app = cyclopts.App(name="carawaydoor", version=release.VERSION, help=__doc__)
keys = cyclopts.App(name="keys", help="Work with API keys of workspaces.")
app.command(keys)

Directory = Annotated[
    pathlib.Path, cyclopts.Parameter(help="Directory with the YAML files of a configuration set.")
]
Address = Annotated[str, cyclopts.Parameter(help="Operator address of an instance, HOST:PORT.")]


@app.command
def check(
    source: Annotated[
        pathlib.Path,
        cyclopts.Parameter(
            help="File with the store item op/config (JSON), or directory with the YAML files of a "
            "configuration set."
        ),
    ],
    *,
    in_force: Annotated[
        pathlib.Path | None,
        cyclopts.Parameter(help="Version in force, in the same form, to compare with."),
    ] = None,
    memory_mb: Annotated[
        int, cyclopts.Parameter(help="Memory of the smallest machine in MB.")
    ] = SMALLEST_MEMORY_MB,
    quota_window_s: Annotated[
        float, cyclopts.Parameter(help="Window in which usage is counted (quotaWindowS).")
    ] = QUOTA_WINDOW_S,
    as_json: Annotated[
        bool, cyclopts.Parameter(name="--json", help="Print the report as JSON.")
    ] = False,
) -> int:
    """Check a configuration without sending it, and report every fault.

    The exit code is 0 without findings, 1 with findings, and 2 if it can't be read.
    """
    try:
        report = configuration_report.create(
            source, in_force, memory_mb * BYTES_PER_MB, quota_window_s
        )
    except configuration_report.UnreadableError as error:
        print(json.dumps({"unreadable": str(error)}) if as_json else error, file=sys.stderr)
        return exit_codes.ExitCode.USAGE
    if as_json:
        print(json.dumps(findings.to_document(report.found, report.differences), indent=2))
    else:
        for finding in report.found:
            print(finding, file=sys.stderr)
        for difference in report.differences:
            print(difference)
        if not report.found:
            print(f"{source}: {report.entries} objects, no faults")
    return exit_codes.ExitCode.FAULTS_FOUND if report.found else exit_codes.ExitCode.OK


@app.command
def build(
    directory: Directory,
    *,
    out: Annotated[
        pathlib.Path, cyclopts.Parameter(help="Directory to write the manifest and parts to.")
    ],
    revision: Annotated[
        int | None,
        cyclopts.Parameter(
            help="Number of the revision; default: one more than the revision in --out."
        ),
    ] = None,
) -> int:
    """Check a configuration set and write its manifest and parts for publication."""
    items = _read_configuration_set(directory)
    if items is None:
        return exit_codes.ExitCode.FAULTS_FOUND
    published = _published_revision(out)
    number = published + 1 if revision is None else revision
    if number <= published:
        print(
            f"revision {number} must be higher than revision {published} in {out}", file=sys.stderr
        )
        return exit_codes.ExitCode.USAGE
    built = revisions.build(number, items)
    write_revision(out, built)
    print(f"revision {number}: {len(items)} objects in {len(built.part_by_digest)} parts")
    return exit_codes.ExitCode.OK


@app.command(name="check-settings")
def check_settings(
    settings_file: Annotated[
        pathlib.Path, cyclopts.Parameter(help="TOML settings file written by the platform.")
    ],
) -> int:
    """Check the platform's settings file and report every fault with its field."""
    result = platform_settings.read(settings_file)
    if result.is_error():
        for fault in result.error:
            print(fault, file=sys.stderr)
        return exit_codes.ExitCode.INVALID_SETTINGS
    print(f"{settings_file}: {result.ok.instance} in {result.ok.domain}, no faults")
    return exit_codes.ExitCode.OK


@app.command
def status(address: Address) -> int:
    """Show the state of an instance."""
    return _print_document(address, "/status")


@app.command
def audit(address: Address) -> int:
    """Show the audit trail of an instance."""
    return _print_document(address, "/audit")


@keys.command(name="digest")
def digest_key() -> int:
    """Read an API key from standard input and print its digest for the configuration."""
    api_key = sys.stdin.readline().strip()
    if authentication.BEARER_PATTERN.match(f"Bearer {api_key}") is None:
        print("a key must have 8 to 512 printable ASCII characters and no spaces", file=sys.stderr)
        return exit_codes.ExitCode.USAGE
    print(authentication.digest_key(api_key))
    return exit_codes.ExitCode.OK


@app.command(name="replay")
def replay_trace(
    trace_file: Annotated[pathlib.Path, cyclopts.Parameter(help="Trace that a daemon recorded.")],
) -> int:
    """Replay a recorded trace and compare the effects of each event with the recorded ones."""
    result = replay.run(trace_file)
    if result.is_error():
        print(result.error, file=sys.stderr)
        return exit_codes.ExitCode.OUTCOME_DIFFERS
    print(f"{trace_file}: {result.ok} events, all effects as recorded")
    return exit_codes.ExitCode.OK


def main() -> None:
    """Run the command line."""
    sys.exit(app())


def _read_configuration_set(directory: pathlib.Path) -> list[config_objects.AnyObject] | None:
    read = yaml_documents.read_objects(directory)
    if read.is_error():
        _print_faults(read.error)
        return None
    checked = catalog.build(read.ok)
    if checked.is_error():
        _print_faults(checked.error)
        return None
    return [each.item for each in read.ok]


def _print_faults(faults: tuple[catalog.Fault, ...]) -> None:
    for fault in faults:
        print(fault, file=sys.stderr)


def _published_revision(out: pathlib.Path) -> int:
    path = out / MANIFEST_FILE_NAME
    if not path.exists():
        return 0
    parsed = revisions.parse_manifest(path.read_bytes())
    return parsed.ok.revision if parsed.is_ok() else 0


def write_revision(out: pathlib.Path, built: revisions.Revision) -> None:
    """Write the parts, then replace the manifest atomically, so that its parts always exist."""
    parts = out / PARTS_DIRECTORY_NAME
    parts.mkdir(parents=True, exist_ok=True)
    for digest, content in built.part_by_digest.items():
        (parts / digest).write_bytes(content)
    new_manifest = out / f"{MANIFEST_FILE_NAME}.new"
    new_manifest.write_bytes(built.manifest_bytes)
    new_manifest.replace(out / MANIFEST_FILE_NAME)


def _print_document(address: str, path: str) -> int:
    host, _, port = address.rpartition(":")
    try:
        connection = http_responses.use_whole_responses(
            http.client.HTTPConnection(host, int(port), timeout=STATUS_TIMEOUT_S)
        )
        connection.request("GET", path)
        document: Any = json.loads(connection.getresponse().read())
    except (OSError, ValueError, http.client.HTTPException) as error:
        print(f"{address}: {error!r}", file=sys.stderr)
        return exit_codes.ExitCode.UNREACHABLE
    print(json.dumps(document, indent=2))
    return exit_codes.ExitCode.OK
