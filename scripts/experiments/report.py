"""Renders the report of an experiment as one HTML page, with charts before tables."""

import dataclasses
import html
import statistics

from . import charts, possible

GOODPUT_HEIGHT = 300
REFUSAL_HEIGHT = 190
MOST_EVENTS = 6

STYLE = """
body{font:15px/1.5 system-ui,sans-serif;color:#1f2933;background:#f4f5f7;margin:0;padding:28px}
main{max-width:1080px;margin:auto}
h1{font-size:26px;margin:0 0 4px}h2{font-size:19px;margin:0 0 10px}
section{background:#fff;border-radius:10px;padding:18px 22px;margin:18px 0;box-shadow:0 1px 3px #0002}
svg{width:100%;height:auto;display:block;margin:8px 0}
.title{font-weight:600;font-size:13px;fill:#1f2933}.axis{font-size:11px;fill:#616e7c}
.grid{stroke:#e4e7eb}.overload{fill:#d64545;fill-opacity:.10}.overload-word{font-size:11px;fill:#b03030}
.possible{fill:none;stroke:#1f2933;stroke-width:1.6;stroke-dasharray:6 4}
.offered{fill:none;stroke:#9aa5b1;stroke-width:1.3;stroke-dasharray:2 3}
.marker{stroke-width:1.6}.marker-word{font-size:12px;font-weight:600;paint-order:stroke;stroke:#fff;stroke-width:4px}
.legend{margin:2px 0 10px}.legend span{margin-right:16px;font-size:13px;white-space:nowrap}
.legend i{display:inline-block;width:11px;height:11px;border-radius:2px;margin-right:6px}
.tiles{display:flex;gap:14px;flex-wrap:wrap;margin:6px 0 4px}
.tile{background:#f4f5f7;border-radius:8px;padding:8px 16px;min-width:150px}
.tile b{display:block;font-size:24px}.tile span{color:#616e7c;font-size:13px}
.good b{color:#2f7d4f}.bad b{color:#b03030}
table{border-collapse:collapse;width:100%;font-size:13.5px}
th,td{text-align:right;padding:4px 9px;border-bottom:1px solid #e4e7eb}th{color:#616e7c;font-weight:600}
td{white-space:nowrap}th:first-child,td:first-child{text-align:left}
.small{color:#616e7c;font-size:13px}
"""


@dataclasses.dataclass(frozen=True)
class Run:
    """Holds one run of a scenario with one policy and one seed."""

    policy: str
    seed: int
    result: dict  # result of the load tool
    checks: object  # checks.Checks
    events: list  # process events: {"atMs", "text"}


@dataclasses.dataclass(frozen=True)
class Experiment:
    """Holds all runs of a scenario."""

    scenario: dict
    runs: list
    ceiling: list  # possible weighted goodput by second


@dataclasses.dataclass(frozen=True)
class Figures:
    """Holds the figures by which runs are compared."""

    goodput: float  # worth per second over the whole run
    share: float  # share of the possible weighted goodput over the whole run
    overload_share: float  # the same over the overload alone
    recovery: float  # seconds; None if not within the run
    violations: int


def overload_of(run):
    """Returns (from, to) of the declared overload, in seconds, or None."""
    recovery = run.result["recovery"]
    return (recovery["fromSecond"], recovery["toSecond"]) if recovery["toSecond"] > recovery["fromSecond"] else None


def share_of(earned, ceiling):
    return sum(earned) / sum(ceiling) if sum(ceiling) else 0.0


def figures_of(run, ceiling):
    """Returns the figures of a run; `ceiling` is the possible weighted goodput by second."""
    earned = run.result["bySecond"]["worth"]
    span = slice(*(overload_of(run) or (0, None)))
    return Figures(
        goodput=sum(earned) / len(earned), share=share_of(earned, ceiling), overload_share=share_of(earned[span], ceiling[span]),
        recovery=run.result["recovery"]["seconds"], violations=run.checks.violations())


def recovery_text(run, figures):
    if not overload_of(run):
        return "none declared"
    return "not within the run" if figures.recovery is None else f"{figures.recovery:g} s"


def row(cells, tag="td"):
    return "<tr>" + "".join(f"<{tag}>{cell}</{tag}>" for cell in cells) + "</tr>"


def table(head, rows):
    return f"<table>{row(head, 'th')}{''.join(row(cells) for cells in rows)}</table>"


def spread(values):
    """Returns the mean as text, with minimum and maximum if there are several values."""
    text = f"{statistics.mean(values):.1f}"
    return text if len(values) == 1 else f"{text} <span class=small>({min(values):.1f} to {max(values):.1f})</span>"


def recovery_spread(recoveries):
    inside = [seconds for seconds in recoveries if seconds is not None]
    missing = len(recoveries) - len(inside)
    parts = [spread(inside) + " s"] if inside else []
    parts += [f"not within the run: {missing} of {len(recoveries)}"] if missing else []
    return ", ".join(parts)


def summary_rows(runs, ceiling):
    """Returns the rows of the table of policies, in the order of their first run."""
    rows = []
    for policy in dict.fromkeys(run.policy for run in runs):
        own = [run for run in runs if run.policy == policy]
        figures = [figures_of(run, ceiling) for run in own]
        totals = [run.result["totals"] for run in own]
        recovery = recovery_spread([one.recovery for one in figures]) if overload_of(own[0]) else "-"
        rows.append([
            html.escape(policy), len(own), spread([one.goodput for one in figures]), spread([100 * one.share for one in figures]),
            spread([100 * one.overload_share for one in figures]), recovery,
            spread([one["attempts"] / max(one["sent"], 1) for one in totals]), sum(one.violations for one in figures)])
    return rows


SUMMARY_HEAD = ["policy", "runs", "worth/s", "% of possible", "% in overload", "recovery", "attempts per request", "violations"]


def tile(value, text, good=None):
    kind = "" if good is None else " good" if good else " bad"
    return f'<div class="tile{kind}"><b>{html.escape(value)}</b><span>{html.escape(text)}</span></div>'


def tiles(run, figures):
    checks = run.checks
    parts = [
        tile(f"{100 * figures.share:.0f} %", "of the possible weighted goodput"),
        tile(f"{100 * figures.overload_share:.0f} %", "of it during the overload"),
        tile(recovery_text(run, figures), "recovery time", figures.recovery is not None if overload_of(run) else None),
        tile(str(checks.violations()), f"violations; {checks.keys} keys, {checks.attempts} attempts checked", checks.violations() == 0),
    ]
    return f'<div class="tiles">{"".join(parts)}</div>'


def frame_of(run):
    is_surge = any(phase["name"] == "surge" for phase in run.result["phases"])
    return charts.Frame(run.result["seconds"], overload_of(run), "overload" if is_surge else "fault")


def goodput_chart(run, ceiling, most, colours):
    result = run.result
    chart = charts.Chart(frame_of(run), GOODPUT_HEIGHT, most, "weighted goodput, worth per second")
    chart.draw_areas(worth_by_kind(result), colours)
    chart.draw_line(offered_by_second(result), "offered")
    chart.draw_line(ceiling, "possible")
    for number, event in enumerate(run.events[:MOST_EVENTS]):
        chart.draw_marker(charts.Marker((event["atMs"] - result["startedAtMs"]) / 1000, event["text"], "#7b8794"), number + 1)
    recovery = result["recovery"]
    if overload_of(run) and recovery["seconds"] is not None:
        text = f"recovered after {recovery['seconds']:g} s"
        chart.draw_marker(charts.Marker(recovery["toSecond"] + recovery["seconds"], text, "#2f7d4f"))
    return chart.to_svg()


def worth_by_kind(result):
    """Returns {kind: worth by second} for the kinds that have worth."""
    return {name: [count * kind["worthOfOne"] for count in kind["completedBySecond"]]
            for name, kind in sorted(result["kinds"].items()) if kind["worthOfOne"] > 0}


def offered_by_second(result):
    offered = [0.0] * result["seconds"]
    for kind in result["kinds"].values():
        offered = [sum_ + count * kind["worthOfOne"] for sum_, count in zip(offered, kind["sentBySecond"])]
    return offered


def refusal_chart(run):
    result = run.result
    causes = {name: values for name, values in sorted(result["bySecond"]["causes"].items()) if any(values)}
    if not causes:
        return "<p class=small>Every attempt completed.</p>"
    most = charts.nice_ceiling(max(sum(values) for values in zip(*causes.values())))
    colours = charts.colours_of(causes)
    title = "attempts per second that did not complete, by reason"
    chart = charts.Chart(frame_of(run), REFUSAL_HEIGHT, most, title)
    chart.draw_bars(causes, colours)
    return chart.to_svg() + charts.legend(colours)


def kind_rows(result):
    for name, kind in sorted(result["kinds"].items(), key=lambda item: -item[1]["worthOfOne"]):
        done = 100 * kind["completed"] / kind["sent"] if kind["sent"] else 0
        yield [html.escape(name), f"{kind['worthOfOne']:g}", kind["sent"], kind["attempts"], f"{kind['completed']} ({done:.0f} %)",
               sum(kind["refused"].values()), sum(kind["mayHaveRun"].values()), sum(kind["failed"].values()), kind["cancelled"],
               f"{kind['latencyMs']['p50']:.0f}", f"{kind['latencyMs']['p99']:.0f}"]


KIND_HEAD = ["kind", "worth of one", "sent", "attempts", "completed", "refused", "may have run", "failed", "cancelled", "p50 ms", "p99 ms"]


def run_section(run, ceiling, most, colours):
    title = f"<h2>{html.escape(run.policy)} <span class=small>seed {run.seed}</span></h2>"
    lines = "<p class=legend><span>- - possible</span><span>··· offered</span></p>"
    return (f"<section>{title}{tiles(run, figures_of(run, ceiling))}{goodput_chart(run, ceiling, most, colours)}{charts.legend(colours)}{lines}"
            f"{refusal_chart(run)}{table(KIND_HEAD, kind_rows(run.result))}</section>")


DEFINITIONS = """<section><h2>Definitions</h2><p class=small>
Weighted goodput: worth of the requests that completed in each second; inner calls and resends earn nothing.
Possible: the most worth that the slots could earn from the offered requests (see scripts/experiments/possible.py); no
policy reaches it. Recovery: time from the end of the overload to the first second from which weighted goodput stays at 95 % of
the level before, or above, for three seconds. Violations: answers that belong to another request, keys of requests that
are not idempotent run twice, keys run whose last answer said not-run, and completed keys that no backend server ran.
See docs/LOAD.md for details.</p></section>"""


def to_html(scenario, manifest, runs):
    """Returns the report; the first run of each policy is charted, all are in the table."""
    ceiling = possible.possible_by_second(scenario, manifest)
    first = list({run.policy: run for run in reversed(runs)}.values())[::-1]
    most = charts.nice_ceiling(1.2 * max(max(ceiling), max(max(run.result["bySecond"]["worth"]) for run in runs)))
    colours = charts.colours_of(sorted(name for name, kind in first[0].result["kinds"].items() if kind["worthOfOne"] > 0))
    phases = ", ".join(f"{phase['name']} {phase['seconds']} s at {phase['rate']}/s" for phase in scenario["phases"])
    body = (f"<h1>{html.escape(scenario['name'])}</h1><p>{html.escape(scenario.get('story', ''))}</p>"
            f"<p class=small>{html.escape(scenario['deployment'])}, {scenario.get('servers', 2)} backend servers per service; {phases}</p>"
            f"<section><h2>Policies</h2>{table(SUMMARY_HEAD, summary_rows(runs, ceiling))}</section>"
            + "".join(run_section(run, ceiling, most, colours) for run in first) + DEFINITIONS)
    return page(scenario["name"], body)


def page(title, body):
    return f"<!doctype html><meta charset=utf-8><title>{html.escape(title)}</title><style>{STYLE}</style><main>{body}</main>"


def to_index(experiments):
    """Returns the page that compares several experiments."""
    rows = []
    for experiment in experiments:
        name = html.escape(experiment.scenario["name"])
        link = f'<a href="{name}/report.html">{name}</a>'
        checked = sum(run.checks.keys for run in experiment.runs)
        rows += [[link, *cells, checked] for cells in summary_rows(experiment.runs, experiment.ceiling)]
    body = f"<h1>Experiments</h1><section>{table(['scenario', *SUMMARY_HEAD, 'keys checked'], rows)}</section>"
    return page("Experiments", body + DEFINITIONS)
