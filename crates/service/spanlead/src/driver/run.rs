//! The loop, what is looked after at intervals, and the end of the process.
use super::Driver;
use super::signals::Signals;
use super::startup::ServeError;
use spanlead_engine::Input;
use spanlead_net::Message;
use spanlead_net::operator::OperatorRequest;
use spanlead_net::peers::PeerSocket;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until};

/// How often idle connections and what else waits for time to pass is looked after.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);
/// How often effects that wait for the disk are checked for what has become too late.
const BARRIER_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long the last connections may take to close at the end.
const LAST_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

impl Driver {
    /// Runs until told to shut down and nothing is open any more.
    pub(super) async fn run(
        &mut self,
        mut inbox: UnboundedReceiver<Message>,
        mut operators: UnboundedReceiver<OperatorRequest>,
        mut signals: Signals,
    ) {
        let mut maintenance = interval(MAINTENANCE_INTERVAL);
        let mut barrier_check = interval(BARRIER_CHECK_INTERVAL);
        // Checked only while something waits: what was missed till then must not come all at once.
        barrier_check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let client_listener = self.client_listener.clone();
        // The last connections close while this goes on: what they still bring is answered.
        let mut closing: Option<Instant> = None;
        loop {
            let connection_ended = client_listener.wait_for_end();
            closing = self.is_finished().then(|| closing.unwrap_or(Instant::now() + LAST_CLOSE_TIMEOUT));
            if let Some(until) = closing {
                client_listener.close();
                if client_listener.is_empty() || Instant::now() >= until {
                    return;
                }
            }
            let timer = self.engine.next_timer(self.clock.now()).map(|time| self.clock.instant(time));
            let far = Instant::now() + MAINTENANCE_INTERVAL;
            tokio::select! {
                biased;
                Some(request) = operators.recv() => self.answer_operator(request),
                _ = signals.terminate.recv() => self.shut_down(),
                _ = signals.interrupt.recv() => self.shut_down(),
                _ = signals.hang_up.recv() => self.reload(),
                _ = maintenance.tick() => self.maintain(),
                _ = barrier_check.tick(), if self.has_waiting_effects() => self.expire_waiting_effects(),
                () = sleep_until(timer.unwrap_or(far)) => self.step(Input::Tick),
                message = inbox.recv() => if let Some(message) = message { self.receive(message) },
                () = connection_ended, if closing.is_some() => {}
                () = sleep_until(closing.unwrap_or(far)), if closing.is_some() => {}
            }
        }
    }

    fn maintain(&mut self) {
        self.pool.close_expired();
        if let Some(log) = &mut self.durable_log {
            log.flush();
        }
        if let Err(error) = self.open_peer_socket() {
            tracing::warn!("{error}");
        }
        if self.engine.is_finishing(self.clock.now()) && self.peer_processes.has_successor() {
            self.step(Input::StartHandover);
            self.release_durable_log();
        }
        // An idle client would only find out from its next request that nothing new should come
        // here.
        if self.engine.is_redirect_grace_over(self.clock.now()) {
            self.client_listener.close_idle();
        }
    }

    /// Whether this process owes nothing any more. With a successor it must also be done with every
    /// connection that it accepted: what they still bring is served here.
    fn is_finished(&mut self) -> bool {
        if self.failure.is_some() {
            return true;
        }
        let handover_is_done = self.peer_processes.is_handover_done();
        let is_done =
            !self.peer_processes.has_successor() || self.client_listener.is_empty() && handover_is_done;
        self.engine.is_finished(self.clock.now()) && is_done
    }

    /// Listens for peers. While another process of this scheduler holds the address, that can wait.
    pub(super) fn open_peer_socket(&mut self) -> Result<(), ServeError> {
        let Some(addresses) = &self.peers.wanted else { return Ok(()) };
        match PeerSocket::open(addresses, self.messages.clone()) {
            Ok(socket) => (self.peers.socket, self.peers.wanted) = (Some(socket), None),
            Err(error) if error.kind() == ErrorKind::AddrInUse && self.peer_processes.has_predecessor() => {}
            Err(source) => {
                return Err(ServeError::PeerListen { address: addresses.listen, source });
            }
        }
        Ok(())
    }

    fn shut_down(&mut self) {
        tracing::info!(open = self.pending.len(), "stopping");
        if self.peer_processes.has_successor() {
            // The successor takes what comes from now on, by both addresses.
            if let Some(accepting) = self.accepting.task.take() {
                accepting.abort();
            }
            // The successor is this scheduler to its peers from now on. Without one they hear that
            // it drains, and of its end.
            (self.peers.socket, self.peers.wanted) = (None, None);
        }
        self.step(Input::Shutdown);
    }
}
