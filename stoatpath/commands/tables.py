"""Plain tables for a terminal."""

GREEN = "32"
RED = "31"
YELLOW = "33"
MAX_CELL_CHARS = 80


def format_table(titles, rows):
    """Return lines of left-aligned columns under their titles."""
    cells = [[_shorten(str(cell)) for cell in row] for row in [titles, *rows]]
    widths = [max(len(row[index]) for row in cells) for index in range(len(titles))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths)).rstrip()
        for row in cells
    ]


def colorize(text, colour, is_terminal):
    """Return text in an ANSI colour, or unchanged if the output is no terminal."""
    return f"\x1b[{colour}m{text}\x1b[0m" if is_terminal else text


def _shorten(text):
    if len(text) <= MAX_CELL_CHARS:
        return text
    return text[: MAX_CELL_CHARS - 3] + "..."
