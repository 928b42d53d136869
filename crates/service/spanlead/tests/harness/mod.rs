//! The scheduler as a process, and the clients, workers and discovery that speak to it. Everything
//! waits for events; [`PATIENCE`] only ends a test that would hang.
use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

pub const PATIENCE: Duration = Duration::from_secs(20);

/// A message as it stood on the socket.
#[derive(Debug)]
pub struct Message {
    pub start: String,
    headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    /// Reads one message; `None` when the connection ended first.
    fn read(from: &mut impl BufRead) -> Option<Self> {
        let mut line = || {
            let mut text = String::new();
            from.read_line(&mut text).ok().filter(|n| *n > 0)?;
            Some(text.trim_end().to_owned())
        };
        let start = line()?;
        let mut headers = Vec::new();
        while let Some((name, value)) = line()?.split_once(':') {
            headers.push((name.to_lowercase(), value.trim().to_owned()));
        }
        let mut message = Message { start, headers, body: String::new() };
        let mut body = vec![0; message.header("content-length").map_or(0, |n| n.parse().expect("a length"))];
        from.read_exact(&mut body).ok()?;
        message.body = String::from_utf8(body).expect("text");
        Some(message)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The message without what differs from run to run.
    pub fn show(&self) -> String {
        let shown = self.headers.iter().filter(|(n, _)| n != "date");
        let headers: Vec<_> = shown.map(|(n, v)| format!("{n}: {v}\n")).collect();
        format!("{}\n{}\n{}", self.start, headers.concat(), self.body)
    }
}

/// A request that the scheduler made, to be answered or not.
pub struct Call {
    pub message: Message,
    pub stream: TcpStream,
}

impl Call {
    pub fn reply(mut self, status: &str, headers: &str, body: &str) {
        let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
        self.stream.write_all(text.as_bytes()).expect("the scheduler reads");
    }

    /// Breaks the connection.
    pub fn hang_up(self) {
        self.stream.shutdown(std::net::Shutdown::Both).expect("open");
    }
}

/// A worker or discovery: hands each request that it reads to the test.
pub struct Server {
    pub addr: SocketAddr,
    calls: Receiver<Call>,
    ends: Receiver<()>,
}

impl Server {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("bound");
        let (to, calls) = channel();
        let (end, ends) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (to, end) = (to.clone(), end.clone());
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
                    while let Some(message) = Message::read(&mut reader) {
                        let stream = stream.try_clone().expect("a third handle");
                        if to.send(Call { message, stream }).is_err() {
                            return;
                        }
                    }
                    let _ = end.send(());
                });
            }
        });
        Server { addr, calls, ends }
    }

    /// The next request.
    pub fn next(&self) -> Call {
        self.calls.recv_timeout(PATIENCE).expect("the scheduler calls")
    }

    /// The next request, if it is there already.
    pub fn try_next(&self) -> Option<Call> {
        self.calls.recv_timeout(Duration::from_millis(1)).ok()
    }

    /// Waits until a connection has ended.
    pub fn ended(&self) {
        self.ends.recv_timeout(PATIENCE).expect("the connection closes");
    }

    /// Whether the scheduler has asked nothing so far.
    pub fn unasked(&self) -> bool {
        self.try_next().is_none()
    }

    /// As an entry of the list.
    pub fn entry(&self, name: &str, health: &str) -> String {
        format!(
            r#"{{"host":"{name}","dial":"{}","site":"solna","class":"std-2c","block":0,"health":"{health}","share":1.0,"born_ms":0,"novel":1}}"#,
            self.addr
        )
    }
}

/// Takes a job as a worker does.
pub fn take(call: Call) {
    call.reply("202 Accepted", "", "");
}

/// A scheduler that knows one worker, `s-a`; that worker, and discovery.
pub fn with_worker() -> (Scheduler, Server, Server) {
    let (discovery, worker) = (Server::start(), Server::start());
    let scheduler = Scheduler::start(discovery.addr, &[worker.entry("s-a", "active")], &[]);
    (scheduler, worker, discovery)
}

/// A new folder for one test.
pub fn folder() -> PathBuf {
    let folder = PathBuf::from(config_path()).with_extension("d");
    std::fs::create_dir_all(&folder).expect("a writable folder");
    folder
}

/// An address that refuses connections.
pub fn nobody() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port")
}

/// A connection to the scheduler.
pub struct Client(BufReader<TcpStream>);

impl Client {
    fn connect(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).expect("it listens");
        stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
        Client(BufReader::new(stream))
    }

    pub fn write(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).expect("the scheduler reads");
    }

    pub fn post(&mut self, path: &str, headers: &str, body: &str) {
        self.write(&format!(
            "POST {path} HTTP/1.1\r\nHost: backend.local\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        ));
    }

    /// Submits a job with good headers.
    pub fn job(&mut self, class: &str, id: &str, deadline_ms: u64) {
        let headers = format!(
            "Req-Id: {id}\r\nReq-Owner: norrtrim\r\nReq-Deadline-Ms: {deadline_ms}\r\nIdempotency-Key: k-{id}\r\n"
        );
        self.post(&format!("/{class}/x?y=1"), &headers, "payload");
    }

    /// Submits a job under this key.
    pub fn keyed(&mut self, class: &str, id: &str, key: &str, body: &str) {
        let headers = format!(
            "Req-Id: {id}\r\nReq-Owner: norrtrim\r\nReq-Deadline-Ms: 15000\r\nIdempotency-Key: {key}\r\n"
        );
        self.post(&format!("/{class}/x"), &headers, body);
    }

    /// Tells of a job as a worker would that goes by leases; the whole answer.
    pub fn leased_notice(&mut self, id: &str, from: &str, token: &str, rest: &str) -> Message {
        self.post("/callback", "", &format!(r#"{{"id":"{id}","from":"{from}","token":{token},{rest}}}"#));
        self.answer()
    }

    /// Tells of a job as a worker would; the answer's status line.
    pub fn notice(&mut self, id: &str, from: &str, rest: &str) -> String {
        self.post("/callback", "", &format!(r#"{{"id":"{id}","from":"{from}",{rest},"novel":1}}"#));
        self.answer().start
    }

    pub fn answer(&mut self) -> Message {
        Message::read(&mut self.0).expect("an answer")
    }

    /// Whether the scheduler has closed the connection, once it has.
    pub fn closed(&mut self) -> bool {
        Message::read(&mut self.0).is_none()
    }

    /// Whether the connection then ended in order, not by a reset, which can destroy what was said
    /// before.
    pub fn ended_in_order(&mut self) -> bool {
        matches!(self.0.read(&mut [0]), Ok(0))
    }
}

/// A running scheduler.
pub struct Scheduler {
    child: Child,
    pub addr: SocketAddr,
    operator: SocketAddr,
    log: Receiver<String>,
    /// Lines that were passed over on the way to others.
    passed: std::cell::RefCell<Vec<String>>,
}

impl Scheduler {
    /// Starts one that knows these list entries, with some of the configuration's text replaced.
    pub fn start(discovery: SocketAddr, known: &[String], edits: &[(&str, &str)]) -> Self {
        Self::start_with(discovery, known, edits, |command| command)
    }

    /// Starts one on a listening socket that it inherits, beside others that hold the same one and
    /// the same folder.
    pub fn start_beside(
        platform: &TcpListener,
        folder: &Path,
        discovery: SocketAddr,
        known: &[String],
        edits: &[(&str, &str)],
    ) -> Self {
        let socket = OwnedFd::from(platform.try_clone().expect("a second handle"));
        Self::start_with(discovery, known, edits, |command| {
            command.stdin(socket).env("ROUTER_LISTEN_FD", "0").env("TMPDIR", folder)
        })
    }

    /// The same with the operators' settings in this file.
    pub fn start_beside_with(
        platform: &TcpListener,
        folder: &Path,
        discovery: SocketAddr,
        known: &[String],
        conf: &Path,
    ) -> Self {
        let socket = OwnedFd::from(platform.try_clone().expect("a second handle"));
        Self::start_with(discovery, known, &[], |command| {
            command.arg("--conf").arg(conf).stdin(socket).env("ROUTER_LISTEN_FD", "0").env("TMPDIR", folder)
        })
    }

    /// Starts one with a ledger in this folder, and more lines for its section.
    pub fn start_durable(discovery: SocketAddr, known: &[String], folder: &Path, more: &str) -> Self {
        let conf = durable_conf(folder, more);
        Self::start_with(discovery, known, &[], |command| command.arg("--conf").arg(conf))
    }

    /// Starts one with these settings of the operators'.
    pub fn start_with_conf(discovery: SocketAddr, known: &[String], folder: &Path, text: &str) -> Self {
        let conf = folder.join("spanlead.conf");
        std::fs::write(&conf, text).expect("a writable folder");
        Self::start_with(discovery, known, &[], |command| command.arg("--conf").arg(conf))
    }

    /// The same with some of the configuration's text replaced.
    pub fn start_edited_with_conf(
        discovery: SocketAddr,
        known: &[String],
        edits: &[(&str, &str)],
        conf: &Path,
    ) -> Self {
        Self::start_with(discovery, known, edits, |command| command.arg("--conf").arg(conf))
    }

    /// The same with files of `blocks` times 512 bytes at the most, beyond which the system refuses
    /// to write.
    pub fn start_cramped(discovery: SocketAddr, known: &[String], folder: &Path, blocks: u32) -> Self {
        let conf = durable_conf(folder, "");
        let text = config(discovery, &known.join(","));
        let shell = format!("trap '' XFSZ; ulimit -f {blocks}; exec \"$0\" serve --conf \"$1\"");
        let mut cramped = through_shell(&shell, &text);
        cramped.arg(conf);
        Self::spawn(cramped, discovery, |command| command)
    }

    /// Starts one by this line of shell, in which `$0` is the program.
    pub fn start_by(line: &str, discovery: SocketAddr, known: &[String]) -> Self {
        let text = config(discovery, &known.join(","));
        Self::spawn(through_shell(line, &text), discovery, |command| command)
    }

    fn start_with(
        discovery: SocketAddr,
        known: &[String],
        edits: &[(&str, &str)],
        with: impl FnOnce(&mut Command) -> &mut Command,
    ) -> Self {
        let text = config(discovery, &known.join(","));
        let text = edits.iter().fold(text, |text, (from, to)| text.replace(from, to));
        Self::spawn(command("serve", &text), discovery, with)
    }

    fn spawn(
        mut command: Command,
        discovery: SocketAddr,
        with: impl FnOnce(&mut Command) -> &mut Command,
    ) -> Self {
        // As in service, where the variable says the same as the file does at the start.
        command.env("ROUTER_DISCOVERY", discovery.to_string()).env("ROUTER_OPERATOR", "127.0.0.1:0");
        let mut child = with(&mut command).stderr(Stdio::piped()).spawn().expect("it starts");
        let lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let (to, log) = channel();
        thread::spawn(move || lines.map_while(Result::ok).for_each(|line| drop(to.send(line))));
        let mut scheduler =
            Scheduler { child, addr: nobody(), operator: nobody(), log, passed: Default::default() };
        scheduler.operator = scheduler.logged_address("operator=");
        scheduler.addr = scheduler.logged_address("address=");
        scheduler
    }

    fn logged_address(&self, key: &str) -> SocketAddr {
        let line = self.logged(key);
        line.split_once(key).and_then(|(_, a)| a.trim().parse().ok()).expect("an address")
    }

    /// The next line of the log that holds this text.
    pub fn logged(&self, text: &str) -> String {
        let until = Instant::now() + PATIENCE;
        let left = || until.saturating_duration_since(Instant::now());
        let next = || self.log.recv_timeout(left()).unwrap_or_else(|_| panic!("no line with {text}"));
        loop {
            let line = next();
            if line.contains(text) {
                return line;
            }
            self.passed.borrow_mut().push(line);
        }
    }

    /// Waits for a line that may have been written before others that were waited for.
    pub fn has_logged(&self, text: &str) {
        let passed = self.passed.borrow().iter().any(|line| line.contains(text));
        if !passed {
            self.logged(text);
        }
    }

    /// Replaces the configuration's file and says so.
    pub fn reload(&self, config: &str) {
        std::fs::write(config_path(), config).expect("a writable folder");
        self.signal(Signal::HUP);
    }

    pub fn client(&self) -> Client {
        Client::connect(self.addr)
    }

    /// A client whose job this worker has taken.
    pub fn taken(&self, worker: &Server, class: &str, id: &str, deadline_ms: u64) -> Client {
        let mut client = self.client();
        client.job(class, id, deadline_ms);
        take(worker.next());
        client
    }

    /// Where the operators' door is.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator
    }

    /// Says that files have changed.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// A connection to the operators' door.
    pub fn operator(&self) -> Client {
        Client::connect(self.operator)
    }

    /// An operator's call: the answer's status and body.
    pub fn operate(&self, call: &str) -> String {
        let mut door = self.operator();
        door.write(&format!("{call} HTTP/1.1\r\nHost: operator\r\nContent-Length: 0\r\n\r\n"));
        let answer = door.answer();
        assert!(door.closed(), "one call a connection");
        format!("{} {}", &answer.start[9..12], answer.body)
    }

    /// The status line of the health check.
    pub fn health(&self) -> String {
        let mut client = self.client();
        client.write("GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n");
        client.answer().start
    }

    /// Kills it outright and waits until it is gone.
    pub fn kill(mut self) {
        self.signal(Signal::KILL);
        self.wait();
    }

    /// The id of the process that was started.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Stops it where it is: what comes waits in its sockets.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it go on.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("it runs");
    }

    pub fn wait(&mut self) -> ExitStatus {
        let until = Instant::now() + PATIENCE;
        loop {
            match self.child.try_wait().expect("a child") {
                Some(status) => return status,
                None => assert!(Instant::now() < until, "it goes on"),
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Scheduler {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The operators' settings for a ledger in this folder.
pub fn durable_conf(folder: &Path, more: &str) -> PathBuf {
    let path = folder.join("spanlead.conf");
    let text = format!("ledger\n  folder '{}'\n{more}", folder.join("ledger").display());
    std::fs::write(&path, text).expect("a writable folder");
    path
}

/// Runs a sub-command on a folder to its end.
pub fn run_plain(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_spanlead")).args(args).output().expect("it starts")
}

/// Runs a sub-command to its end on this configuration file.
pub fn run(subcommand: &str, config: &str) -> Output {
    command(subcommand, config).output().expect("it starts")
}

/// The same with these operators' settings.
pub fn run_with_conf(subcommand: &str, config: &str, conf: &str) -> Output {
    let path = config_path().replace(".json", ".conf");
    std::fs::write(&path, conf).expect("a writable folder");
    command(subcommand, config).args(["--conf", &path]).output().expect("it starts")
}

/// One file for each test of each run: the threads of a test run are named after the tests.
fn config_path() -> String {
    let name = thread::current().name().unwrap_or("test").replace("::", "-");
    format!("{}/{name}-{}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id())
}

fn command(subcommand: &str, config: &str) -> Command {
    let path = config_path();
    std::fs::write(&path, config).expect("a writable folder");
    let mut command = Command::new(env!("CARGO_BIN_EXE_spanlead"));
    command.arg(subcommand).env_remove("ROUTER_NAME").env_remove("ROUTER_DISCOVERY");
    command.env("ROUTER_CONFIG", path).env("ROUTER_LISTEN", "127.0.0.1:0");
    command
}

/// This line of shell with the program as `$0`, in the environment that a plain start has.
fn through_shell(line: &str, text: &str) -> Command {
    let plain = command("serve", text);
    let mut shell = Command::new("sh");
    shell.args(["-c", line, env!("CARGO_BIN_EXE_spanlead")]);
    for (name, value) in plain.get_envs() {
        match value {
            Some(value) => shell.env(name, value),
            None => shell.env_remove(name),
        };
    }
    shell
}

/// A configuration: `status-check` is safe to repeat, `guest-visit` within a cell, `once` never.
pub fn config(discovery: SocketAddr, known: &str) -> String {
    let grade = |name: &str, effect: &str| {
        format!(r#"{{"name":"{name}","aim":300000000,"deadline":7500000000,"effect":{effect}}}"#)
    };
    let grades = [
        grade("status-check", r#""idempotent""#),
        grade("guest-visit", r#""deduplicated","dedupScope":"cell","keyTtl":25000000000"#),
        grade("once", r#""at_most_once""#),
    ];
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964","novel":1,
"limits":{{"cores":1.0,"memory_mb":192,"sockets":128}},
"known":{{"seq":41,"whole":true,"hosts":[{known}]}},
"settings":{{"az":0,"azs":["solna","kista"],"kinds":["std-2c"],"grades":[{}],"discovery":"subscribe",
"tenants":[{{"name":"kraftverket"}},{{"name":"norrtrim"}}],"me":0,"nInstances":1,
"limits":{{"cancel":true,"connIdle":10000000000,"connectTimeout":250000000,"maxAttempts":6,"retryAfter":true,
"maxRetryAfter":2000000000,"streamsPerConn":1}},
"rules":{{"askEvery":10000000000,"drainGrace":750000000}},"round":2000000}}}}"#,
        grades.join(",")
    )
}
