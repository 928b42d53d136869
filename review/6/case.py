"""A data plane freezes while clients hand jobs in; they get no answer, cancel elsewhere, and the jobs run all the same."""
import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "rig2"))
import rig as rig2  # noqa: E402

FREEZE_S = 3.3          # `node_freeze` of pentagrama-norte: share = 0.11, for_s = 3.5
EDGES = 10              # one frozen at a time is a share of 0.10
ROUNDS = 3              # each time another one
PAUSE_S = 8.0
CANCEL_S = 3.0          # `cancel_ms`
STOP_S = 0.4            # `stop_ms`
WATCH_S = 12.0


def stage(**more):
    return dict({"count": 2, "cpu": 500, "memMb": 256, "estRuntimeMs": 4000}, **more)


async def script(make, record, trouble):
    rig2.BOUNDS.update(far_x=1.5, save_s=2, restore_ms=250)     # as in pentagrama-norte
    rig = make(edges=EDGES)
    for number in range(6):
        await rig.add_worker("alpha", ["a", f"r1-{number // 2}"])
    await rig.start()
    await rig.configure([("/queue/", "alpha", 3)], ["alpha"])
    await rig.ready()
    await asyncio.sleep(4)
    acknowledged = {}
    for number in range(ROUNDS):
        first, second = rig.edges[number], rig.edges[number + ROUNDS]
        jobs = {
            # Two steps of 4 s each.
            f"5c0e7a21d94b36f{number}": {"spec": "ms=4000", "stages": [stage(), stage(dependsOn=[0])]},
            # Runs until it is cancelled.
            f"7d1f8b32ea5c470{number}": {"spec": "ms=600000", "longRunning": True, "stages": [stage()]},
        }
        begun = time.monotonic()
        if trouble:
            first.signal(signal.SIGSTOP)
        # The clients wait as long as they said in `Spanlead-Request-Deadline`, 3 s, and close the connection.
        await asyncio.gather(*[rig.client(first, "POST", f"/queue/{ident}", body) for ident, body in jobs.items()])
        for ident in jobs:
            answer = await rig.client(second, "DELETE", f"/queue/{ident}")
            if answer is None or answer[0] not in (200, 410):
                raise rig2.CannotRun(f"the cancel was not acknowledged: {answer}")
            acknowledged[ident] = time.monotonic()
        if trouble:
            await asyncio.sleep(begun + FREEZE_S - time.monotonic())
            first.signal(signal.SIGCONT)
        await asyncio.sleep(begun + FREEZE_S + PAUSE_S - time.monotonic())
    await asyncio.sleep(WATCH_S - PAUSE_S)
    for ident in acknowledged:
        await rig.client(rig.edges[-1], "GET", f"/queue/{ident}")
    broken = False
    for worker in rig.workers:
        for when, task, run, answer in worker.orders:
            after = when - acknowledged[task.split(".")[0]]
            if answer[0] == 200 and after > CANCEL_S:
                broken = True
                record(f"UNASKED: {task} run={run} started {after:.2f} s after its cancel was acknowledged")
        for task in worker.running:
            after = time.monotonic() - acknowledged[task.split(".")[0]]
            if after > CANCEL_S + STOP_S:
                broken = True
                record(f"UNASKED: {task} is still running {after:.2f} s after its cancel was acknowledged")
    return not broken


rig2.main(script, HERE)
