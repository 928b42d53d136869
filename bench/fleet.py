#!/usr/bin/env python3
"""Plays days of the operators' benches over kinds and seeds, and prints a table of what came of each.

    bench/fleet.py --kit FOLDER [--bench mass|vast|real|sim] [--site FILE] [--kinds join+mass,roll+mass] [--seeds 1,2,3]
                   [--at-once 2] [--cpus 0,1,2] [--nodes N] [--against CHECKOUT] [--no-build] [--keep FOLDER]

FOLDER is the kit's own, which holds the benches and `sites/`; nothing of it is copied. `mass` is the standing test (about 300
schedulers), `vast` the growing fleet (about 100), `real` the days on real sockets (one at a time, on a machine that does nothing
else), `sim` the simulator, whose days are compared by G. --site is relative to FOLDER. With --against, each day is played by the program of another checkout too
(built there; the bench leaves those entries in that checkout's journal), and the two are compared seed by seed: the mean of the
differences with its 95% interval (Student's t). The bench leaves an entry in journal/ for each day, to be committed as it is. The exit code is 1 if a day broke a rule, crashed, didn't start or served
less than its gate, 2 if nothing could be played. Never part of CI: it needs the kit, and a machine that does nothing else.
"""
import argparse
import concurrent.futures
import json
import pathlib
import statistics
import subprocess
import sys
import tempfile

BENCHES = {
    "mass": ("more/mass/bin/lbreal", ["calm+mass", "roll+mass", "herd+mass", "zone+mass", "split+mass", "join+mass"]),
    "vast": ("more/bin/lbreal", ["herd+vast", "zone+vast", "join+vast"]),
    "real": ("real/bin/lbreal", ["none", "retune", "term", "drain", "fleet", "upgrade", "scrape", "pieces+silent+leave"]),
    "sim": ("bin/lbsim", ["quiet", "trouble", "overload", "big"]),
}
# Student's t, two-sided 95%, for 1 degree of freedom and up; the last, a little wide, serves for more.
T95 = [12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13, 2.12, 2.11, 2.10, 2.09]

def arguments():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--kit", type=pathlib.Path, required=True, help="the kit's folder")
    parser.add_argument("--bench", choices=BENCHES, default="mass")
    parser.add_argument("--site", default="sites/stockholm-members.toml", help="the deployment's site file in the kit")
    parser.add_argument("--kinds", help="default: all of the bench")
    parser.add_argument("--seeds", default="1,2,3,4,5")
    parser.add_argument("--at-once", type=int, default=2, help="days played side by side")
    parser.add_argument("--cpus", help="cores that nothing else uses, as 0,1,2: for `real`, one day at a time")
    parser.add_argument("--nodes", type=int, help="fewer schedulers: a look that does not count")
    parser.add_argument("--against", type=pathlib.Path, help="a checkout of another version, played on the same days")
    parser.add_argument("--no-build", action="store_true", help="the programs are built already")
    parser.add_argument("--keep", type=pathlib.Path, help="keep the days' reports here")
    parser.add_argument("--why", default="Standing test over more seeds, for the table in docs/measurements")
    args = parser.parse_args()
    args.kinds = args.kinds.split(",") if args.kinds else BENCHES[args.bench][1]
    try:
        args.seeds = [int(seed) for seed in args.seeds.split(",")]
    except ValueError:
        parser.error("--seeds: whole numbers, with commas between them")
    if not 1 <= args.at_once <= 16:
        parser.error("--at-once: 1 to 16")
    return args


def play(args, bench, folder, kind, seed, other):
    """One day: its figures, or why there are none."""
    report = folder / f"{kind}-{seed}{'-against' if other else ''}.json"
    report.unlink(missing_ok=True)
    if args.bench == "sim":
        return simulate(args, bench, folder, kind, seed, other)
    command = [bench, args.kit / args.site, "--rough", kind, "--seed", str(seed), "--no-build", "--json", report, "--why", args.why]
    command += ["--nodes", str(args.nodes)] if args.nodes else []
    command += ["--cpus", args.cpus] if args.cpus else []
    try:
        done = run(command, other)
    except subprocess.TimeoutExpired:
        return {"kind": kind, "seed": seed, "fault": "not over within 25 minutes"}
    if not report.exists():
        last = (done.stderr + done.stdout).strip().splitlines()[-1:] or ["nothing was said"]
        return {"kind": kind, "seed": seed, "fault": f"no report, exit code {done.returncode}: {last[0]}"}
    return figures(kind, seed, json.loads(report.read_text()))


def run(command, checkout):
    command = [str(c) for c in command]
    return subprocess.run(command, cwd=checkout, capture_output=True, text=True, timeout=1500)


def simulate(args, bench, folder, kind, seed, other):
    """A day in the simulator, drawn once for both versions."""
    drawn = folder / f"{kind}-{seed}{'-against' if other else ''}.day.json"
    run([bench, "draw", args.kit / args.site, "--seed", seed, "--kind", kind, "-o", drawn], other)
    done = run([bench, "run", drawn, "--no-build", "--json", "--why", args.why], other)
    if not done.stdout.startswith("{"):
        return {"kind": kind, "seed": seed, "fault": f"no report: {(done.stderr + done.stdout).strip()[-200:]}"}
    day = json.loads(done.stdout)
    broken = {name: n for name, n in day["breaks"].items() if n}
    tries = sum(w["offered"] for w in day["windows"]) or 1
    lost = {name: 100 * sum(w[name] for w in day["windows"]) / tries for name in ("in_time", "late", "refused", "failed", "timed_out")}
    served = {c["name"]: c["served"] / (c["offered"] or 1) for c in day["classes"]}
    return {
        "kind": kind, "seed": seed, "fault": day["fault"] or (f"rules broken: {broken}" if broken else None), "score": day["g"],
        "lost": lost, "classes": served, "probes": day["meters"]["probe"],
        "prices": {name: price for name, price in day["prices"].items() if price >= 0.0005},
    }


def figures(kind, seed, day):
    row, real = day["row"], day["real"]["seen"]
    windows = day["windows"]
    tries = sum(w["offered"] for w in windows) or 1
    share = lambda name: 100 * sum(w[name] for w in windows) / tries
    # The report has `timed_out` for those that had no answer before their client left.
    lost = {name: share(name) for name in ("in_time", "late", "refused", "failed", "timed_out")}
    prices = {name: price for name, price in day["prices"].items() if price >= 0.0005}
    broken = {name: n for name, n in row["rules"].items() if n}
    fault = row["fault"] or (f"rules broken: {broken}" if broken else None)
    # Only the standing test has a gate.
    served = row.get("served") or day["worth_served"] / (day["worth_offered"] or 1)
    gate = row.get("served_least") or 0.0
    if not fault and served < gate:
        fault = f"served {served:.3f}, under the gate of {gate:.3f}"
    if row["score"] is None:
        # A day on sockets without trouble: nobody says what its floor and top are.
        return {"kind": kind, "seed": seed, "fault": fault, "note": f"G {row['G']:.3f}, the day has no score"}
    return {
        "kind": kind, "seed": seed, "fault": fault, "score": row["score"], "served": served,
        "gate": gate, "lost": lost, "prices": prices, "requests": day["requests"],
        "connections": real["server_conns"] / max(day["requests"], 1), "first_p99": real["way_in_us"][1] / 1000,
        "probes": day["meters"]["probe"], "lists": day["signature"]["list_calls_per_instance_s"],
        "cpu_ms": 1000 * sum(day["real"]["cpu_s"]) / max(day["requests"], 1), "memory": max(day["real"]["memory_mb"]),
        "nodes": row.get("nodes", row["balancers"]), "workers": row["servers"],
    }


def show_simulated(days):
    head = ["day", "seed", "G", "in time %", "late %", "refused %", "failed %", "left %", "probes/req", "served by class"]
    print("| " + " | ".join(head + ["prices of 0.0005 and more"]) + " |")
    print("|" + " --- |" * (len(head) + 1))
    for d in days:
        if "score" not in d:
            print(f"| {d['kind']} | {d['seed']} | " + " | ".join([""] * (len(head) - 2)) + f" | {d['fault'] or d['note']} |")
            continue
        cells = [d["kind"], d["seed"], f"{d['score']:.3f}"]
        cells += [f"{d['lost'][name]:.1f}" for name in ("in_time", "late", "refused", "failed", "timed_out")]
        cells += [f"{d['probes']:.1f}", ", ".join(f"{name} {part:.2f}" for name, part in d["classes"].items())]
        cells += [", ".join(f"{name} {price:.4f}" for name, price in sorted(d["prices"].items()))]
        print("| " + " | ".join(str(c) for c in cells) + " |")
    means(days)


def means(days):
    print()
    for kind in dict.fromkeys(d["kind"] for d in days):
        scores = [d["score"] for d in days if d["kind"] == kind and "score" in d]
        if scores:
            mean = statistics.mean(scores)
            print(f"{kind}: mean {mean:.3f}, {min(scores):.3f} to {max(scores):.3f}, {len(scores)} days")


def show(days):
    head = ["day", "seed", "nodes", "workers", "score", "served", "gate", "in time %", "late %", "refused %", "failed %", "left %",
            "conns/req", "probes/req", "lists/s", "way in p99 ms", "CPU ms/req", "MB", "prices of 0.0005 and more"]
    print("| " + " | ".join(head) + " |")
    print("|" + " --- |" * len(head))
    for d in days:
        if "score" not in d:
            print(f"| {d['kind']} | {d['seed']} | " + " | ".join([""] * (len(head) - 3)) + f" | {d['fault'] or d['note']} |")
            continue
        lost = d["lost"]
        prices = ", ".join(f"{name} {price:.4f}" for name, price in sorted(d["prices"].items()))
        cells = [d["kind"], d["seed"], d["nodes"], d["workers"], f"{d['score']:.2f}", f"{d['served']:.3f}", f"{d['gate']:.3f}"]
        cells += [f"{lost[name]:.1f}" for name in ("in_time", "late", "refused", "failed", "timed_out")]
        cells += [f"{d['connections']:.1f}", f"{d['probes']:.1f}", f"{d['lists']:.2f}", f"{d['first_p99']:.0f}"]
        cells += [f"{d['cpu_ms']:.1f}", d["memory"], prices]
        print("| " + " | ".join(str(c) for c in cells) + " |")
    means(days)


def compare(days, others):
    """The differences seed by seed, this build less the other one."""
    print()
    print("| kind | days | other | this | difference | 95% | better / worse |")
    print("|" + " --- |" * 7)
    pairs = [(d, o) for d, o in zip(days, others) if "score" in d and "score" in o]
    for kind in list(dict.fromkeys(d["kind"] for d, _ in pairs)) + ["all"]:
        of = [(d["score"], o["score"]) for d, o in pairs if kind in (d["kind"], "all")]
        if len(of) < 2:
            continue
        diffs = [new - old for new, old in of]
        half = T95[min(len(of) - 1, len(T95)) - 1] * statistics.stdev(diffs) / len(of) ** 0.5
        new, old = (statistics.mean(score) for score in zip(*of))
        mean = statistics.mean(diffs)
        better = sum(d > 0 for d in diffs)
        cells = [kind, len(of), f"{old:.3f}", f"{new:.3f}", f"{mean:+.3f}", f"{mean - half:+.3f} to {mean + half:+.3f}"]
        print("| " + " | ".join(str(c) for c in cells + [f"{better} / {sum(d < 0 for d in diffs)}"]) + " |")


def main():
    args = arguments()
    args.kit = args.kit.resolve()
    bench = args.kit / BENCHES[args.bench][0]
    if args.against and not args.against.exists():
        print(f"fleet.py: {args.against} is not there; --against wants a checkout", file=sys.stderr)
        return 2
    for needed in (bench, args.kit / args.site):
        if not needed.exists():
            print(f"fleet.py: {needed} is not there; --kit wants the folder of the operators' kit", file=sys.stderr)
            return 2
    # None is the checkout that this is run in.
    checkouts = [None] + ([args.against] if args.against else [])
    for checkout in [] if args.no_build else checkouts:
        if subprocess.run(["cargo", "build", "--release", "--locked"], cwd=checkout).returncode:
            print(f"fleet.py: the program does not build in {checkout or 'this checkout'}", file=sys.stderr)
            return 2
    scratch = tempfile.TemporaryDirectory()
    folder = (args.keep or pathlib.Path(scratch.name)).resolve()
    folder.mkdir(parents=True, exist_ok=True)
    plan = [(kind, seed, other) for kind in args.kinds for seed in args.seeds for other in checkouts]
    with concurrent.futures.ThreadPoolExecutor(args.at_once) as pool:
        played = list(pool.map(lambda day: play(args, bench, folder, *day), plan))
    days = [day for day, (_, _, other) in zip(played, plan) if not other]
    (show_simulated if args.bench == "sim" else show)(days)
    if args.against:
        compare(days, [day for day, (_, _, other) in zip(played, plan) if other])
    failed = [d for d in days if d["fault"]]
    for d in failed:
        print(f"FAILED {d['kind']} seed {d['seed']}: {d['fault']}")
    print(f"{len(days)} days, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
