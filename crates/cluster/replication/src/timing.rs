//! All timeouts and intervals of the protocol, in milliseconds, and the limits that go with them.
//!
//! The lease and the heartbeat interval are settings; see [`crate::ReplicaConfig`].

/// The time without contact with the primary after which a member announces itself to all
/// addresses that it knows.
pub(crate) const PRIMARY_CONTACT_TIMEOUT_MS: u64 = 400;
/// The interval at which a member announces itself while it has no contact with the primary.
pub(crate) const ANNOUNCE_INTERVAL_MS: u64 = 250;
/// The same interval for a machine that is not a member. It is shorter so that a new primary
/// discovers its standbys quickly.
pub(crate) const STANDBY_ANNOUNCE_INTERVAL_MS: u64 = 100;

/// The part of a lease that its holder uses, tenths. The rest allows for clocks whose rates differ
/// by up to a tenth.
pub(crate) const USABLE_LEASE_TENTHS: u64 = 9;
/// The time in which a new primary must obtain its first lease, in lease durations.
pub(crate) const ACTIVATION_TIMEOUT_LEASES: u64 = 2;

/// The longest duration of an election.
pub(crate) const ELECTION_TIMEOUT_MS: u64 = 500;
/// The interval at which a candidate repeats its pre-vote. Leases expire at the witnesses at
/// different times, and repeating is cheap because a pre-vote makes no promise.
pub(crate) const PRE_VOTE_INTERVAL_MS: u64 = 40;
/// The delay between the elections of candidates of successive ranks.
pub(crate) const ELECTION_STAGGER_MS: u64 = 100;
/// The minimum delay before a candidate retries a failed election.
pub(crate) const MIN_ELECTION_JITTER_MS: u64 = 10;
/// The range of that delay above its minimum, so that candidates that collided retry at different
/// times.
pub(crate) const ELECTION_JITTER_RANGE_MS: u64 = 150;
/// The time for which a machine that stepped down starts no election.
pub(crate) const STEP_DOWN_COOLDOWN_MS: u64 = 3_000;
/// The interval at which a primary repeats the proposal of an undecided view.
pub(crate) const PROPOSAL_RETRY_INTERVAL_MS: u64 = 250;

/// The time without progress after which a backup replaces a session that lacks items.
pub(crate) const SESSION_STALL_TIMEOUT_MS: u64 = 400;
/// The same timeout during repair while no items are missing.
pub(crate) const REPAIR_STALL_TIMEOUT_MS: u64 = 1_000;
/// The maximum number of doublings of these two timeouts. Each session that stalled doubles them
/// once.
pub(crate) const MAX_STALL_DOUBLINGS: u32 = 4;
/// The time after the last stalled session at which the doublings are reset.
pub(crate) const STALL_BACKOFF_RESET_MS: u64 = 20_000;

/// The age of an unfinished write to the primary's own disk at which the primary steps down.
pub(crate) const DISK_STALL_TIMEOUT_MS: u64 = 1_000;
/// The time after sending for which an unacknowledged batch counts as in transit: a backup that
/// lacks only such batches is caught up.
pub(crate) const MAX_BATCH_TRANSIT_MS: u64 = 200;
/// The time without contact after which a replica is removed from the in-sync set.
pub(crate) const IN_SYNC_CONTACT_TIMEOUT_MS: u64 = 600;
/// The time within which a machine whose connection was lost must be in contact again. Otherwise it
/// counts as out of contact for longer than [`IN_SYNC_CONTACT_TIMEOUT_MS`].
pub(crate) const RECONNECT_TIMEOUT_MS: u64 = 200;
/// The time without a replica's acknowledgement of a batch after which the replica is removed from
/// the in-sync set.
pub(crate) const ACKNOWLEDGEMENT_TIMEOUT_MS: u64 = 300;
/// The time without contact after which a member is replaced by a standby.
pub(crate) const REPLACEMENT_TIMEOUT_MS: u64 = 280;
/// The time after its replacement within which a member that is in contact again is reinstated.
pub(crate) const REINSTATEMENT_WINDOW_MS: u64 = 30_000;
/// The time for which a member's request to leave is valid.
pub(crate) const LEAVE_REQUEST_VALIDITY_MS: u64 = 1_000;
/// The interval at which a leaving member repeats its request.
pub(crate) const LEAVE_REQUEST_INTERVAL_MS: u64 = 50;
/// The time after its election for which a primary assumes that there may be a standby that has not
/// announced itself yet.
pub(crate) const STANDBY_DISCOVERY_MS: u64 = 250;
/// The time without contact after which a standby is removed from the primary's list.
pub(crate) const STANDBY_EXPIRY_MS: u64 = 6_000;
/// The time for which commits wait for a backup that is about to join the in-sync set.
pub(crate) const CATCH_UP_WAIT_MS: u64 = 300;
/// The time from the start of such a wait until commits may wait for the same backup again.
pub(crate) const CATCH_UP_RETRY_INTERVAL_MS: u64 = 2_000;

/// The time after its start for which a bootstrap candidate waits for all 2f + 1 bootstrap voters
/// before it continues with f + 1.
pub(crate) const BOOTSTRAP_GATHER_TIMEOUT_MS: u64 = 400;
/// The interval at which bootstrap voters announce themselves to the seeds.
pub(crate) const BOOTSTRAP_ANNOUNCE_INTERVAL_MS: u64 = 60;
/// The time without contact after which a bootstrap voter is removed from the list of voters.
pub(crate) const BOOTSTRAP_VOTER_EXPIRY_MS: u64 = 1_500;
