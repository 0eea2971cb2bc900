"""Output of measurements: one key=value line a figure."""


def print_figure(name, value, unit, baseline=None):
    """Prints a figure with its baseline of the same run.

    Args:
        name: Name of the figure, words separated by underscores.
        value: The measured value.
        unit: Its unit.
        baseline: The baseline's value; None where there is none.
    """
    line = f"name={name} value={_format(value)} unit={unit}"
    if baseline is not None:
        ratio = value / baseline if baseline else float("inf")
        line += f" baseline={_format(baseline)} ratio={ratio:.3f}"
    print(line, flush=True)


def _format(value):
    return f"{value:.4g}" if isinstance(value, float) else str(value)
