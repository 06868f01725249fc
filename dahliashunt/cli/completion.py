"""Completion of commands in a shell."""

from typing import Any

from dahliashunt.cli.exits import CommandError
from dahliashunt.cli.exits import Exit
from dahliashunt.cli.registry import command
from dahliashunt.cli.registry import COMMANDS
from dahliashunt.cli.registry import Context

__all__ = ["completion"]

_BASH = """\
_dahliashunt() {{
  local first="${{COMP_WORDS[1]}}" cur="${{COMP_WORDS[COMP_CWORD]}}"
  if [ "$COMP_CWORD" -eq 1 ]; then
    COMPREPLY=($(compgen -W "{groups}" -- "$cur"))
  elif [ "$COMP_CWORD" -eq 2 ]; then
    case "$first" in
{cases}
    esac
  else
    COMPREPLY=($(compgen -f -- "$cur"))
  fi
}}
complete -F _dahliashunt dahliashunt
"""

_ZSH = """\
autoload -U +X bashcompinit && bashcompinit
"""


@command("completion")
def completion(args: dict[str, Any], context: Context) -> int:
    """Print a script that completes commands in a shell.

    Usage:
      dahliashunt completion [options] [--entry=URL]... <shell>

    The shell is bash or zsh.

    For example:
      source <(dahliashunt completion bash)
    """
    shell = args["<shell>"]
    if shell not in ("bash", "zsh"):
        raise CommandError(Exit.USAGE, "the shell must be bash or zsh")
    context.printer.line((_ZSH if shell == "zsh" else "") + _script())
    return Exit.OK


def _script():
    words_by_group = {}
    for words in sorted(COMMANDS):
        words_by_group.setdefault(words[0], []).extend(words[1:])
    cases = "\n".join(
        f'      {group}) COMPREPLY=($(compgen -W "{" ".join(words)}" '
        '-- "$cur"));;'
        for group, words in words_by_group.items()
        if words
    )
    return _BASH.format(groups=" ".join(words_by_group), cases=cases)
