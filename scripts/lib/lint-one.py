#!/usr/bin/env python3
"""Lints one source file with clang-tidy: lint-one.py COMPILE-COMMANDS-DIR FILE

Skips a file that passed before with the same text, headers, macros, command, checks and clang-tidy.
The results are kept under $XDG_CACHE_HOME/rattandock-lint (default: ~/.cache/rattandock-lint).
"""
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys


def output(command, directory):
    result = subprocess.run(command, cwd=directory, capture_output=True, check=False)
    return result.stdout if result.returncode == 0 else None


def key_of(entry, root):
    """Returns a digest of all that the verdict depends on, or None if it cannot be determined."""
    arguments = shlex.split(entry['command'])
    if pathlib.Path(arguments[0]).name == 'ccache':
        arguments = arguments[1:]
    if '-o' in arguments:
        at = arguments.index('-o')
        del arguments[at:at + 2]
    # Keeps comments, which may hold NOLINT, and macro definitions, which are linted too.
    text = output([*arguments, '-E', '-C', '-dD'], entry['directory'])
    version = output(['clang-tidy', '--version'], root)
    if text is None or version is None:
        return None
    digest = hashlib.sha256()
    for part in (version, (root / '.clang-tidy').read_bytes(), ' '.join(arguments).encode(), text):
        # The verdict does not depend on where the tree lies.
        digest.update(part.replace(str(root).encode(), b'ROOT'))
    return digest.hexdigest()


def main():
    build, name = sys.argv[1:]
    root = pathlib.Path.cwd()
    source = (root / name).resolve()
    entries = json.loads(pathlib.Path(build, 'compile_commands.json').read_text())
    entry = next((it for it in entries if pathlib.Path(it['file']).resolve() == source), None)
    key = key_of(entry, root) if entry else None
    home = pathlib.Path(os.environ.get('XDG_CACHE_HOME') or pathlib.Path.home() / '.cache')
    passed = home / 'rattandock-lint' / key if key else None
    if passed and passed.exists():
        return 0
    result = subprocess.run(['clang-tidy', '--quiet', '-p', build, name], check=False,
                            stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
    sys.stdout.write(result.stdout)
    if result.returncode == 0 and not result.stdout.strip() and passed:
        passed.parent.mkdir(parents=True, exist_ok=True)
        passed.touch()
    return result.returncode


if __name__ == '__main__':
    sys.exit(main())
