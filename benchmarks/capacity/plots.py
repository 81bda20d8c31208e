"""Plots the measured loads and their formulas over the number of proxies (extra `plots`)."""

from __future__ import annotations

from pathlib import Path

from benchmarks.capacity import fit
from benchmarks.capacity.laws import COST_MODELS
from benchmarks.capacity.page import fit_model, size_of
from benchmarks.capacity.runs import FIT_RUNS, load
from benchmarks.capacity.size import TARGET_SIZE, scaled_size

PROXY_COUNTS = (30, 50, 100, 200, 300, 500, 700, 1000, 1500)


def draw(folder: Path) -> None:
    """Write one SVG for each role. Raises ImportError without the extra."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    runs = load()
    folder.mkdir(parents=True, exist_ok=True)
    for role in sorted({model.role for model in COST_MODELS}):
        models = [model for model in COST_MODELS if model.role == role and fit_model(model, runs)]
        figure, axes = pyplot.subplots(len(models), 1, figsize=(6, 2.6 * len(models)), squeeze=False)
        for axis, model in zip(axes[:, 0], models, strict=True):
            slopes = fit_model(model, runs)
            sizes = [scaled_size(doors) for doors in PROXY_COUNTS[:-1]] + [TARGET_SIZE]
            axis.loglog(
                PROXY_COUNTS,
                [max(1e-6, fit.evaluate(slopes, model.row(size))) for size in sizes],
                label="formula",
            )
            for name, run in runs.items():
                measured = model.measured(run)
                if measured:
                    axis.plot(size_of(run).doors, measured, "o" if name in FIT_RUNS else "x")
            if model.limit:
                axis.axhline(model.limit, linestyle="--")
            axis.set_title(f"{model.name}, {model.unit}", fontsize=8)
        figure.tight_layout()
        figure.savefig(folder / f"capacity-{role}.svg")
        pyplot.close(figure)
