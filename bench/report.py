"""Output of benchmarks: one key=value line for each figure."""


def print_figure(name, value, unit, baseline=None):
    """Prints a figure and, if given, its baseline and their ratio.

    Args:
        name: Name of the figure, words separated by underscores.
        value: The measured value.
        unit: Unit of the value.
        baseline: Value of the baseline in the same unit, or None.
    """
    line = f"name={name} value={_format(value)} unit={unit}"
    if baseline is not None:
        ratio = value / baseline if baseline else float("inf")
        line += f" baseline={_format(baseline)} ratio={ratio:.3f}"
    print(line, flush=True)


def _format(value):
    return f"{value:.4g}" if isinstance(value, float) else str(value)
