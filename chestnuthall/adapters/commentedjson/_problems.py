"""Problems found in a file that an operator wrote."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Problem:
    """A problem and its position; lines and columns count from 1.

    ``rule`` says what is wrong and ``right`` how to correct it.

    Examples
    --------
    >>> print(Problem("env.jsonc", 3, 14, "classes.a.share", "is -1",
    ...               "write a number greater than 0"))
    env.jsonc:3:14: classes.a.share: is -1; write a number greater than 0
    """

    file_name: str
    line: int
    column: int
    path: str
    rule: str
    right: str

    def __str__(self) -> str:
        """Return the problem as one line."""
        position = f"{self.file_name}:{self.line}:{self.column}"
        return f"{position}: {self.path or 'document'}: {self.rule}; {self.right}"
