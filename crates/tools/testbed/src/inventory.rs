//! A club's inventory file, kept by a tool that is not always careful: weights change, lines come
//! twice, hosts stand there that
//! nobody runs, the file is cut off, garbled, removed, or replaced in one go. Where it says
//! something of a pod or a zone, that
//! is true, or it contradicts itself.
use crate::discovery::Listed;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::fmt::Write;
use std::io;
use std::path::PathBuf;

/// The file's keeper.
pub struct Keeper {
    path: PathBuf,
    hosts: Vec<Listed>,
    /// Hosts that only the file names.
    ghosts: Vec<String>,
    weights: Vec<f64>,
    rng: SmallRng,
    version: u32,
}

impl Keeper {
    /// Keeps the file at `path` for these workers, and writes it for the first time, well.
    ///
    /// # Errors
    /// If it can't be written.
    pub fn new(path: PathBuf, hosts: Vec<Listed>, ghosts: Vec<String>, seed: u64) -> io::Result<Self> {
        let rng = SmallRng::seed_from_u64(seed ^ 0x6b65_6570_6572);
        let weights = vec![1.0; hosts.len()];
        let mut keeper = Keeper { path, hosts, ghosts, weights, rng, version: 0 };
        let text = keeper.good();
        keeper.replace(text.as_bytes())?;
        Ok(keeper)
    }

    fn good(&mut self) -> String {
        self.version += 1;
        let mut text = format!(
            "# version {} of the club's inventory\nhost;zone;pod;kind;weight;slots;label\n\n",
            self.version
        );
        // A few at a time, and now and then all.
        let share = if self.rng.random_bool(0.1) { 1.0 } else { 0.2 };
        for weight in &mut self.weights {
            if self.rng.random_bool(share) {
                *weight = f64::from(self.rng.random_range(50_u32..150)) / 100.0;
            }
        }
        for (host, weight) in self.hosts.iter().zip(&self.weights) {
            let Listed { host, zone, cell, kind, .. } = host;
            writeln!(text, "{};{zone};{cell};{kind};{weight};2;\"a; b\"", host.to_uppercase()).unwrap_or(());
        }
        for ghost in &self.ghosts {
            writeln!(text, "{ghost};{};1;std-2c;5;2;", self.hosts.first().map_or("", |h| &h.zone))
                .unwrap_or(());
        }
        text
    }

    /// Puts a whole file in the place of the old one.
    fn replace(&self, bytes: &[u8]) -> io::Result<()> {
        let new = self.path.with_extension("new");
        std::fs::write(&new, bytes)?;
        std::fs::rename(new, &self.path)
    }

    /// Changes the file in one of its ways; says which.
    ///
    /// # Errors
    /// If it can't be written.
    pub fn change(&mut self) -> io::Result<&'static str> {
        let mut text = self.good();
        let Some(some) = self.hosts.choose(&mut self.rng).cloned() else { return Ok("nothing") };
        match self.rng.random_range(0..9) {
            0 => {
                // Twice, with another pod: what holds is not known.
                writeln!(text, "{};{};{};{};1;2;", some.host, some.zone, some.cell + 1, some.kind)
                    .unwrap_or(());
                self.replace(text.as_bytes())?;
                Ok("a host stands twice with different pods")
            }
            1 => {
                writeln!(text, "{};nowhere;{};{};1;2;", some.host, some.cell, some.kind).unwrap_or(());
                self.replace(text.as_bytes())?;
                Ok("a zone that nobody knows")
            }
            2 => {
                let cut = self.rng.random_range(0..text.len());
                std::fs::write(&self.path, &text.as_bytes()[..cut])?;
                Ok("cut off in the middle")
            }
            3 => {
                let garbage: Vec<u8> = (0..2000).map(|_| self.rng.random()).collect();
                std::fs::write(&self.path, garbage)?;
                Ok("garbled")
            }
            4 => {
                std::fs::remove_file(&self.path).or_else(|e| match e.kind() {
                    io::ErrorKind::NotFound => Ok(()),
                    _ => Err(e),
                })?;
                Ok("removed")
            }
            5 => {
                let without = text.lines().filter(|l| !l.to_lowercase().starts_with(&some.host));
                let without: String = without.map(|l| format!("{l}\n")).collect();
                self.replace(without.as_bytes())?;
                Ok("a host is left out")
            }
            6 => {
                let header = "host;zone;pod;kind;weight;slots;label\n";
                self.replace(header.as_bytes())?;
                Ok("all hosts are left out")
            }
            _ => {
                self.replace(text.as_bytes())?;
                Ok("other weights")
            }
        }
    }
}
