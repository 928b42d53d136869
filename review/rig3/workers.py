"""Stand-ins for workers and for the platform's list, by PROTOCOL.md."""
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

TICK_S = 0.005
# The way from a worker to the system, as between two machines.
DELAY_S = 0.003


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256
    allow_reuse_address = True


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        pass

    def answer(self, status, body):
        time.sleep(DELAY_S)
        data = json.dumps(body).encode()
        head = "HTTP/1.1 %d x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(data))
        self.wfile.write(head.encode() + data)
        self.wfile.flush()

    def body(self):
        length = int(self.headers.get("Content-Length") or 0)
        return json.loads(self.rfile.read(length) or b"{}")


class Run:
    def __init__(self, task, run, spec, checkpoint, work_ms, demand):
        self.task, self.run, self.spec, self.checkpoint = task, run, spec, checkpoint
        self.work_ms, self.demand, self.done_ms, self.stops_at = work_ms, demand, 0.0, None


class Worker:
    """One worker. `spec` of a job is "work=MS cpu=M mem=M ..." so that the worker knows what a task
    takes; it is an opaque text to the system."""

    def __init__(self, record, name, address, service, labels, cpu=16000, mem=65536, gpus=0, guards=True,
                 stop_ms=300, clock_rate=1.0):
        self.record, self.name, self.address, self.service, self.labels = record, name, address, service, labels
        self.cpu, self.mem, self.gpus, self.guards = cpu, mem, gpus, guards
        self.stop_ms, self.clock_rate, self.slow = stop_ms, clock_rate, 1.0
        self.fence, self.until, self.last_end = 0, 0, 0
        self.running, self.finished, self.ended = {}, [], {}
        self.state, self.started = "ready", time.monotonic()
        self.condition = threading.Condition()
        self.on_start = None
        worker = self

        class WorkerHandler(Handler):
            def do_POST(self):
                worker.handle(self)

            def do_GET(self):
                self.answer(200, {})

        self.server = Server(address, WorkerHandler)
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()
        threading.Thread(target=self.live, daemon=True).start()

    def clock(self):
        return int((time.monotonic() - self.started) * 1000 * self.clock_rate) + 500

    def listed(self):
        return {"id": self.name, "service": self.service, "address": "%s:%d" % self.address, "zone": "sal-norr",
                "version": "v1", "slots": 8, "state": self.state, "coldRemainingMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": self.mem, "gpus": self.gpus}, "labels": self.labels}

    def live(self):
        last = time.monotonic()
        while True:
            time.sleep(TICK_S)
            now = time.monotonic()
            elapsed_ms, last = (now - last) * 1000, now
            with self.condition:
                if self.running and self.clock() > self.until:
                    for run in list(self.running.values()):
                        self.finish(run, "lapsed")
                for run in list(self.running.values()):
                    if run.stops_at is not None:
                        if now >= run.stops_at:
                            self.finish(run, "stopped")
                        continue
                    run.done_ms += elapsed_ms / self.slow
                    if run.work_ms and run.done_ms >= run.work_ms:
                        self.finish(run, "failed" if "fails" in run.spec else "done")

    def finish(self, run, how):
        del self.running[run.task]
        self.last_end += 1
        self.finished.append([self.last_end, run.task, run.run, how, ""])
        self.ended[run.task] = max(self.ended.get(run.task, 0), run.run)
        self.record.write("worker %s run %s %d ended %s" % (self.name, run.task, run.run, how))
        self.condition.notify_all()

    def used(self):
        return [sum(run.demand[i] for run in self.running.values()) for i in range(3)]

    def handle(self, handler):
        body = handler.body()
        target = handler.headers.get("Spanlead-Target-Instance")
        if target and target != self.name:
            return handler.answer(421, {})
        with self.condition:
            if body.get("fenceToken", 0) < self.fence:
                status, reply = 409, {"reason": "fence"}
            else:
                self.fence = body.get("fenceToken", 0)
                if handler.path == "/run-start":
                    status, reply = self.start(body)
                elif handler.path == "/run-stop":
                    status, reply = self.stop(body)
                else:
                    status, reply = self.hold(body)
            reply["clockMs"] = self.clock()
        handler.answer(status, reply)

    def extend(self, until):
        if until is not None:
            self.until = max(self.until, min(until, self.clock() + 6000))

    def start(self, body):
        task, run, until = body["task"], body["run"], body["untilMs"]
        words = dict(word.split("=") for word in body["spec"].split() if "=" in word)
        demand = [int(words.get(key, 0)) for key in ("cpu", "mem", "gpus")]
        present = self.running.get(task)
        if present and present.run == run:
            self.extend(until)
            return 200, {}
        if until < self.clock():
            return 409, {"reason": "late"}
        self.extend(until)
        if present or run <= self.ended.get(task, 0):
            return 409, {"reason": "old"}
        free = [whole - part for whole, part in zip((self.cpu, self.mem, self.gpus), self.used())]
        over = any(need > room for need, room in zip(demand, free))
        if over and self.guards:
            return 409, {"reason": "room"}
        self.running[task] = Run(task, run, body["spec"], body.get("checkpointed", ""), float(words.get("work", 0)),
                                 demand)
        self.record.write("worker %s start %s %d fence=%d spec=%r checkpoint=%r%s" % (
            self.name, task, run, body.get("fenceToken", 0), body["spec"], body.get("checkpointed", ""),
            " OVER CAPACITY" if over else ""))
        if self.on_start:
            self.on_start(self, body, over)
        return 200, {}

    def stop(self, body):
        task, run = body["task"], body["run"]
        self.ended[task] = max(self.ended.get(task, 0), run)
        present = self.running.get(task)
        if present and present.run <= run and present.stops_at is None:
            present.stops_at = time.monotonic() + self.stop_ms / 1000
            self.record.write("worker %s stop %s %d" % (self.name, task, run))
        return 200, {}

    def hold(self, body):
        seen = body.get("lastSeen", 0)
        self.extend(body.get("untilMs"))
        self.finished = [end for end in self.finished if end[0] > seen]
        deadline = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
        while not self.finished and time.monotonic() < deadline:
            self.condition.wait(max(0.001, deadline - time.monotonic()))
        running = [[run.task, run.run, run.checkpoint, int(min(99, 100 * run.done_ms / run.work_ms)) if run.work_ms else 0]
                   for run in self.running.values()]
        reply = {"running": running, "finished": self.finished[:500]}
        if self.state == "draining":
            reply["remainingMs"] = 3000
        return 200, reply


class Platform:
    """The platform's list of workers."""

    def __init__(self, address, workers):
        self.workers = workers
        platform = self

        class PlatformHandler(Handler):
            def do_GET(self):
                self.answer(200, {"instances": [worker.listed() for worker in list(platform.workers)],
                                  "nextToken": None})

        self.server = Server(address, PlatformHandler)
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()
