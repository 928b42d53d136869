//! A tier of members in virtual time: each lives through a period at its own phase, datagrams are lost, late, doubled and cut.
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spanlead_membership::{
    Action, GossipMembership, LifecyclePhase, MemberState, MemberStateChange, MembershipConfig,
    SuspicionThresholds,
};
use std::collections::BTreeMap;

/// Who sent it, to whom, and what it says.
type Datagram = (usize, usize, Vec<u8>);

/// Steps of a period.
const STEPS: u64 = 10;

pub struct World {
    pub seed: u64,
    /// All changes of state, by whom they were seen.
    pub changes: Vec<(usize, MemberStateChange)>,
    pub datagrams: u64,
    pub bytes: u64,
    rng: ChaCha8Rng,
    loss: f64,
    count: usize,
    members: Vec<Option<GossipMembership>>,
    stopped: Vec<bool>,
    cuts: Vec<bool>,
    at: u64,
    /// What is on its way, by arrival.
    under_way: BTreeMap<(u64, u64), Datagram>,
    serial: u64,
    /// Datagrams of one member that are kept to come again later.
    late: Option<(usize, Vec<Datagram>)>,
}

impl World {
    pub fn new(count: usize, loss: f64, seed: u64) -> Self {
        let mut world = World {
            seed,
            changes: Vec::new(),
            datagrams: 0,
            bytes: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss,
            count,
            members: (0..count).map(|_| None).collect(),
            stopped: vec![false; count],
            cuts: vec![false; count * count],
            at: 0,
            under_way: BTreeMap::new(),
            serial: 0,
            late: None,
        };
        for me in 0..count {
            world.start(me, 1000 + me as u32);
        }
        world
    }

    pub fn start(&mut self, me: usize, incarnation: u32) {
        let mut members = GossipMembership::new(MembershipConfig {
            own_number: me as u16,
            member_count: self.count as u16,
            tier_id: *b"test",
            name: format!("n{me}"),
            version: "1".into(),
            incarnation,
            fanout: 4,
            tolerated_loss: 0.3,
            seed: self.rng.random(),
        });
        let mut out = Vec::new();
        members.set_phase(LifecyclePhase::Serving, &mut out);
        self.members[me] = Some(members);
    }

    pub fn kill(&mut self, me: usize) {
        self.members[me] = None;
    }

    pub fn leave(&mut self, me: usize) {
        let mut out = Vec::new();
        if let Some(members) = &mut self.members[me] {
            members.set_phase(LifecyclePhase::Left, &mut out);
        }
        self.send(me, out);
        self.kill(me);
    }

    pub fn stop(&mut self, me: usize) {
        self.stopped[me] = true;
    }

    /// It goes on; what has come meanwhile, as much as a socket keeps, is read in whatever order the program has.
    pub fn wake(&mut self, me: usize) {
        self.stopped[me] = false;
    }

    pub fn cut(&mut self, from: usize, to: usize, cut: bool) {
        self.cuts[from * self.count + to] = cut;
    }

    pub fn heal(&mut self) {
        self.cuts.fill(false);
    }

    pub fn record_late(&mut self, of: usize) {
        self.late = Some((of, Vec::new()));
        (0..30).for_each(|_| self.period());
    }

    /// What was recorded comes now.
    pub fn play_late(&mut self) {
        let Some((_, kept)) = self.late.take() else { return };
        for (from, to, bytes) in kept {
            self.arrive(from, to, &bytes);
        }
    }

    pub fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.count).filter(|m| self.members[*m].is_some() && !self.stopped[*m])
    }

    pub fn state(&self, at: usize, of: usize) -> MemberState {
        self.member(at, of).map_or(MemberState::Unknown, |m| m.state)
    }

    /// Whether all that run take this one for that, itself aside.
    pub fn all_see(&self, whom: usize, wanted: MemberState) -> bool {
        self.running().all(|at| at == whom || self.state(at, whom) == wanted)
    }

    pub fn incarnation(&self, at: usize, of: usize) -> u32 {
        self.member(at, of).map_or(0, |m| m.incarnation)
    }

    fn member(&self, at: usize, of: usize) -> Option<spanlead_membership::Member> {
        self.members[at].as_ref()?.members().nth(of)
    }

    pub fn thresholds(&self) -> SuspicionThresholds {
        SuspicionThresholds::for_tier(self.count as u16, 4, 0.3)
    }

    /// One period passes; each member lives through it at a phase of its own.
    pub fn period(&mut self) {
        for step in 0..STEPS {
            self.at += 1;
            while let Some(entry) = self.under_way.first_entry().filter(|e| e.key().0 <= self.at) {
                let (from, to, bytes) = entry.remove();
                self.arrive(from, to, &bytes);
            }
            for me in (0..self.count).filter(|m| *m as u64 % STEPS == step) {
                if self.stopped[me] {
                    continue;
                }
                let mut out = Vec::new();
                if let Some(members) = &mut self.members[me] {
                    members.tick(&mut out);
                }
                self.send(me, out);
            }
        }
    }

    fn arrive(&mut self, from: usize, to: usize, bytes: &[u8]) {
        // A socket keeps what comes for one that is stopped; by far the most is lost.
        if self.stopped[to] {
            return;
        }
        let mut out = Vec::new();
        if let Some(members) = &mut self.members[to] {
            members.receive(from as u16, bytes, &mut out);
        }
        self.send(to, out);
    }

    fn send(&mut self, from: usize, out: Vec<Action>) {
        for out in out {
            match out {
                Action::StateChanged(change) => self.changes.push((from, change)),
                Action::Payload { .. } => {}
                Action::Send { to, datagram: bytes } => {
                    let to = usize::from(to);
                    self.datagrams += 1;
                    self.bytes += bytes.len() as u64;
                    if let Some((of, kept)) = &mut self.late
                        && *of == from
                    {
                        kept.push((from, to, bytes.clone()));
                    }
                    if self.cuts[from * self.count + to] || self.rng.random_bool(self.loss) {
                        continue;
                    }
                    // Now and then a datagram comes twice.
                    for _ in 0..1 + u32::from(self.rng.random_bool(0.02)) {
                        self.serial += 1;
                        let delay = self.rng.random_range(0..2 * STEPS);
                        self.under_way.insert((self.at + delay, self.serial), (from, to, bytes.clone()));
                    }
                }
            }
        }
    }
}
