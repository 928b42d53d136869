#!/usr/bin/env python3
"""Plays days of the operators' standing test over kinds and seeds, and prints a table of what came of each.

    bench/fleet.py --kit FOLDER [--kinds join+mass,roll+mass] [--seeds 1,2,3] [--at-once 2] [--nodes N] [--keep FOLDER]

FOLDER is the kit's own, which holds `more/mass/bin/lbreal` and `sites/`; nothing of it is copied. The bench leaves an entry in
journal/ for each day, to be committed as it is. The exit code is 1 if a day broke a rule, crashed, didn't start or served
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

KINDS = ["calm+mass", "roll+mass", "herd+mass", "zone+mass", "split+mass", "join+mass"]
SITE = "sites/stockholm-members.toml"


def arguments():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--kit", type=pathlib.Path, required=True, help="the kit's folder")
    parser.add_argument("--kinds", default=",".join(KINDS))
    parser.add_argument("--seeds", default="1,2,3,4,5")
    parser.add_argument("--at-once", type=int, default=2, help="days played side by side")
    parser.add_argument("--nodes", type=int, help="fewer schedulers: a look that does not count")
    parser.add_argument("--keep", type=pathlib.Path, help="keep the days' reports here")
    parser.add_argument("--why", default="Standing test over more seeds, for the table in docs/measurements")
    args = parser.parse_args()
    args.kinds = args.kinds.split(",")
    try:
        args.seeds = [int(seed) for seed in args.seeds.split(",")]
    except ValueError:
        parser.error("--seeds: whole numbers, with commas between them")
    if not 1 <= args.at_once <= 16:
        parser.error("--at-once: 1 to 16")
    return args


def play(args, bench, folder, kind, seed):
    """One day: its figures, or why there are none."""
    report = folder / f"{kind}-{seed}.json"
    report.unlink(missing_ok=True)
    command = [bench, args.kit / SITE, "--rough", kind, "--seed", str(seed), "--no-build", "--json", report, "--why", args.why]
    command += ["--nodes", str(args.nodes)] if args.nodes else []
    try:
        done = subprocess.run([str(c) for c in command], capture_output=True, text=True, timeout=1500)
    except subprocess.TimeoutExpired:
        return {"kind": kind, "seed": seed, "fault": "not over within 25 minutes"}
    if not report.exists():
        last = (done.stderr + done.stdout).strip().splitlines()[-1:] or ["nothing was said"]
        return {"kind": kind, "seed": seed, "fault": f"no report, exit code {done.returncode}: {last[0]}"}
    return figures(kind, seed, json.loads(report.read_text()))


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
    if not fault and row["served"] < row["served_least"]:
        fault = f"served {row['served']:.3f}, under the gate of {row['served_least']:.3f}"
    return {
        "kind": kind, "seed": seed, "fault": fault, "score": row["score"], "served": row["served"],
        "gate": row["served_least"], "lost": lost, "prices": prices, "requests": day["requests"],
        "connections": real["server_conns"] / max(day["requests"], 1), "first_p99": real["way_in_us"][1] / 1000,
        "nodes": row["nodes"], "workers": row["servers"],
    }


def show(days):
    head = ["day", "seed", "nodes", "workers", "score", "served", "gate", "in time %", "late %", "refused %", "failed %", "left %",
            "conns/req", "way in p99 ms", "prices of 0.0005 and more"]
    print("| " + " | ".join(head) + " |")
    print("|" + " --- |" * len(head))
    for d in days:
        if "score" not in d:
            print(f"| {d['kind']} | {d['seed']} | " + " | ".join([""] * (len(head) - 3)) + f" | {d['fault']} |")
            continue
        lost = d["lost"]
        prices = ", ".join(f"{name} {price:.4f}" for name, price in sorted(d["prices"].items()))
        cells = [d["kind"], d["seed"], d["nodes"], d["workers"], f"{d['score']:.2f}", f"{d['served']:.3f}", f"{d['gate']:.3f}"]
        cells += [f"{lost[name]:.1f}" for name in ("in_time", "late", "refused", "failed", "timed_out")]
        cells += [f"{d['connections']:.1f}", f"{d['first_p99']:.0f}", prices]
        print("| " + " | ".join(str(c) for c in cells) + " |")
    print()
    for kind in dict.fromkeys(d["kind"] for d in days):
        scores = [d["score"] for d in days if d["kind"] == kind and "score" in d]
        if scores:
            mean = statistics.mean(scores)
            print(f"{kind}: mean {mean:.2f}, {min(scores):.2f} to {max(scores):.2f}, {len(scores)} days")


def main():
    args = arguments()
    bench = args.kit / "more/mass/bin/lbreal"
    for needed in (bench, args.kit / SITE):
        if not needed.exists():
            print(f"fleet.py: {needed} is not there; --kit wants the folder of the operators' kit", file=sys.stderr)
            return 2
    built = subprocess.run(["cargo", "build", "--release", "--locked"])
    if built.returncode:
        print("fleet.py: the program does not build", file=sys.stderr)
        return 2
    scratch = tempfile.TemporaryDirectory()
    folder = args.keep or pathlib.Path(scratch.name)
    folder.mkdir(parents=True, exist_ok=True)
    plan = [(kind, seed) for kind in args.kinds for seed in args.seeds]
    with concurrent.futures.ThreadPoolExecutor(args.at_once) as pool:
        days = list(pool.map(lambda day: play(args, bench, folder, *day), plan))
    show(days)
    failed = [d for d in days if d["fault"]]
    for d in failed:
        print(f"FAILED {d['kind']} seed {d['seed']}: {d['fault']}")
    print(f"{len(days)} days, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
