#!/usr/bin/env python3
"""Replaces the reference tables in docs/operations by those of the daemon."""
import pathlib
import subprocess

ROOT = pathlib.Path(__file__).resolve().parent.parent


def main():
    for name in ("settings", "tables", "reasons"):
        table = subprocess.run(
            [ROOT / "build/bin/cranberryfold_daemon", f"--describe={name}"],
            check=True, capture_output=True, text=True).stdout.rstrip("\n").split("\n")
        page = ROOT / f"docs/operations/{name}.md"
        lines = page.read_text().split("\n")
        first = lines.index(table[0])
        last = first
        while last < len(lines) and lines[last].startswith("|"):
            last += 1
        page.write_text("\n".join(lines[:first] + table + lines[last:]))


if __name__ == "__main__":
    main()
