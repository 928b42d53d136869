//! How long a serving scheduler is deaf while 20,000 workers change: `cargo build --release &&
//! cargo run --release -p spanlead --example large_list [WORKERS]`.
//!
//! Starts `target/release/spanlead` among a discovery of its own, asks for its health on a kept
//! connection, one call after the other, and shows how long the answers took while nothing
//! happened, while the whole list was read anew with every host changed, and while an inventory
//! file changed the facts of all. The process has one thread for jobs, so no job waits longer.
use hdrhistogram::Histogram;
use spanlead_balancing_policy::Nanos;
use spanlead_testbed::{Discovery, Listed, Record, Scheduler};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

type Failure = Box<dyn std::error::Error>;

const PHASES: [&str; 4] = [
    "nothing happens",
    "every host of the list changes",
    "an inventory is read first",
    "all its facts change",
];

fn ask(to: SocketAddr, phase: &AtomicU8) -> Result<Vec<Histogram<u64>>, Failure> {
    let mut stream = TcpStream::connect(to)?;
    stream.set_nodelay(true)?;
    let mut histograms = (0..PHASES.len()).map(|_| Histogram::new(3)).collect::<Result<Vec<_>, _>>()?;
    let mut buffer = [0; 1024];
    loop {
        let at = usize::from(phase.load(Ordering::Relaxed));
        let Some(histogram) = histograms.get_mut(at) else { return Ok(histograms) };
        let begun = Instant::now();
        stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")?;
        if stream.read(&mut buffer)? == 0 {
            return Err("the scheduler closed the connection".into());
        }
        histogram.record(begun.elapsed().as_micros() as u64)?;
        std::thread::sleep(Duration::from_micros(200));
    }
}

fn file(path: &Path, hosts: usize, weight: f64) -> std::io::Result<()> {
    let mut text = String::from("host,pod,weight\n");
    (0..hosts).for_each(|i| text.push_str(&format!("w{i:05}.kista.example.org,{},{weight}\n", i / 2)));
    let new = path.with_extension("new");
    std::fs::write(&new, text)?;
    std::fs::rename(new, path)
}

fn stats(scheduler: &Scheduler) -> Result<serde_json::Value, Failure> {
    let mut door = TcpStream::connect(scheduler.operator)?;
    door.write_all(b"GET /ops/stats HTTP/1.1\r\nHost: operator\r\n\r\n")?;
    let mut text = String::new();
    door.read_to_string(&mut text)?;
    Ok(serde_json::from_str(text.split_once("\r\n\r\n").ok_or("no answer")?.1)?)
}

/// Waits until the figures are as wanted.
fn until(scheduler: &Scheduler, wanted: impl Fn(&serde_json::Value) -> bool) -> Result<Duration, Failure> {
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(60) {
        if wanted(&stats(scheduler)?) {
            return Ok(begun.elapsed());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Err("it does not come about".into())
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> Result<(), Failure> {
    let workers: usize = std::env::args().nth(1).map_or(Ok(20_000), |n| n.parse())?;
    let folder = tempfile::tempdir()?;
    let inventory = folder.path().join("hosts.csv");
    let discovery = Discovery::start(Record::new(), std::time::Duration::ZERO, 1).await?;
    let listed = |i: usize, born_ms: u64| Listed {
        host: format!("w{i:05}.kista.example.org"),
        dials: vec![SocketAddr::from(([127, 0, 0, 1], 9))],
        zone: "kista".to_owned(),
        kind: "std-2c".to_owned(),
        cell: 0,
        health: "active",
        born_ms,
        bare: true,
    };
    (0..workers).for_each(|i| discovery.list(listed(i, 0)));
    let ns = |s: u64| -> Nanos { s * 1_000_000_000 };
    let config = serde_json::json!({
        "name": "n0", "discovery": discovery.addrs[0].to_string(), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "az": 0, "azs": ["kista"], "kinds": ["std-2c"], "discovery": "subscribe", "me": 0, "nInstances": 1,
            "grades": [{"name": "visit", "aim": ns(1), "deadline": ns(15), "effect": "deduplicated", "dedupScope": "cell", "keyTtl": ns(25)}],
            "rules": {"askEvery": ns(10), "drainGrace": 750_000_000, "cold": ns(1), "coldFrom": 0.3},
        },
    });
    let conf = format!(
        "inventory clubs\n  file '{}'\n  hold-over 100%\n  settle 50ms\n  poll 100ms\n  weight file-first\n",
        inventory.display()
    );
    let binary = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../target/release/spanlead");
    let mut scheduler = Scheduler::new(&binary, folder.path(), &config, &conf, Record::new())?;
    scheduler.start().await?;
    until(&scheduler, |s| s["members"] == workers)?;

    let phase = Arc::new(AtomicU8::new(0));
    let (asked, to) = (phase.clone(), scheduler.addr);
    let asker = std::thread::spawn(move || ask(to, &asked).map_err(|e| e.to_string()));
    std::thread::sleep(Duration::from_secs(3));
    phase.store(1, Ordering::Relaxed);
    (0..workers).for_each(|i| discovery.list(listed(i, 1_000)));
    std::thread::sleep(Duration::from_secs(3));
    phase.store(2, Ordering::Relaxed);
    file(&inventory, workers, 2.0)?;
    let first = until(&scheduler, |s| s["facts"]["matched"] == workers && s["facts"]["pending"] == 0)?;
    std::thread::sleep(Duration::from_secs(1));
    phase.store(3, Ordering::Relaxed);
    file(&inventory, workers, 3.0)?;
    std::thread::sleep(Duration::from_secs(3));
    phase.store(9, Ordering::Relaxed);
    let histograms = asker.join().map_err(|_| "the asker failed")??;
    println!(
        "{workers} workers; the first inventory was in use after {first:?}; answers to /healthz, milliseconds:"
    );
    println!("phase                             answers     p50     p99   p99.9     max");
    for (phase, h) in PHASES.iter().zip(&histograms) {
        let ms = |us: u64| us as f64 / 1000.0;
        println!(
            "{phase:32} {:8} {:7.2} {:7.2} {:7.2} {:7.2}",
            h.len(),
            ms(h.value_at_quantile(0.5)),
            ms(h.value_at_quantile(0.99)),
            ms(h.value_at_quantile(0.999)),
            ms(h.max())
        );
    }
    scheduler.kill().await;
    Ok(())
}
