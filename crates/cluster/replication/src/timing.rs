//! Every time-out and interval of the protocol, in milliseconds, and the limits that depend on
//! time.
//!
//! The lease and the heartbeat interval are settings; see [`crate::ReplicaConfig`].

/// Silence of the primary after which a member announces itself to all addresses that it knows.
pub(crate) const PRIMARY_CONTACT_TIMEOUT_MS: u64 = 400;
/// How often a member announces itself while the primary is silent.
pub(crate) const ANNOUNCE_INTERVAL_MS: u64 = 250;
/// The same for a machine that is no member: a new primary should know its standbys as soon as
/// possible.
pub(crate) const STANDBY_ANNOUNCE_INTERVAL_MS: u64 = 100;

/// The part of a lease that its holder uses. The rest allows for clocks that differ in speed by up
/// to a tenth.
pub(crate) const USABLE_LEASE_TENTHS: u64 = 9;
/// How many leases a new primary has for gathering its first grants.
pub(crate) const ACTIVATION_TIMEOUT_LEASES: u64 = 2;

/// How long an election may take.
pub(crate) const ELECTION_TIMEOUT_MS: u64 = 500;
/// How often a candidate repeats its pre-vote: leases end at different moments, and a pre-vote
/// promises nothing.
pub(crate) const PRE_VOTE_INTERVAL_MS: u64 = 40;
/// The delay between candidates of successive ranks.
pub(crate) const ELECTION_STAGGER_MS: u64 = 100;
/// The shortest delay of a candidate before it retries a lost election.
pub(crate) const MIN_ELECTION_JITTER_MS: u64 = 10;
/// The range of that delay, so that candidates that collided retry at different moments.
pub(crate) const ELECTION_JITTER_RANGE_MS: u64 = 150;
/// How long a machine that stepped down stays out of elections.
pub(crate) const STEP_DOWN_COOLDOWN_MS: u64 = 3_000;
/// How often a primary repeats the proposal of a view that is not decided yet.
pub(crate) const PROPOSAL_RETRY_INTERVAL_MS: u64 = 250;

/// How long a session may make no progress although items are missing.
pub(crate) const SESSION_STALL_TIMEOUT_MS: u64 = 400;
/// The same while the backup is repaired.
pub(crate) const REPAIR_STALL_TIMEOUT_MS: u64 = 1_000;
/// How often at most these two are doubled, once for each session that ended by them.
pub(crate) const MAX_STALL_DOUBLINGS: u32 = 4;
/// How long after the last stalled session the doublings are forgotten.
pub(crate) const STALL_BACKOFF_RESET_MS: u64 = 20_000;

/// How long a primary's own disk may make no progress before another machine should take over.
pub(crate) const DISK_STALL_TIMEOUT_MS: u64 = 1_000;
/// How long a batch may be in transit to a backup that counts as caught up.
pub(crate) const MAX_BATCH_TRANSIT_MS: u64 = 200;
/// Silence after which a replica leaves the in-sync set.
pub(crate) const IN_SYNC_CONTACT_TIMEOUT_MS: u64 = 600;
/// How long a machine whose connection broke has to be in contact again before it counts as silent.
pub(crate) const RECONNECT_TIMEOUT_MS: u64 = 200;
/// How long a batch may lack a replica's acknowledgement before the replica leaves the in-sync set.
pub(crate) const ACKNOWLEDGEMENT_TIMEOUT_MS: u64 = 300;
/// Silence after which a member is replaced by a standby.
pub(crate) const REPLACEMENT_TIMEOUT_MS: u64 = 280;
/// How long after its replacement a member that is in contact again gets its place back.
pub(crate) const REINSTATEMENT_WINDOW_MS: u64 = 30_000;
/// How long a member's request to leave stays valid.
pub(crate) const LEAVE_REQUEST_VALIDITY_MS: u64 = 1_000;
/// How often a member that is to leave repeats its request.
pub(crate) const LEAVE_REQUEST_INTERVAL_MS: u64 = 50;
/// How long a new primary assumes that there may be a standby that has not announced itself yet.
pub(crate) const STANDBY_DISCOVERY_MS: u64 = 250;
/// Silence after which a standby is forgotten.
pub(crate) const STANDBY_EXPIRY_MS: u64 = 6_000;
/// How long commits wait for a backup that keeps up and is about to join the in-sync set.
pub(crate) const CATCH_UP_WAIT_MS: u64 = 300;
/// How long after such a wait began commits may wait for the same backup again.
pub(crate) const CATCH_UP_RETRY_INTERVAL_MS: u64 = 2_000;

/// How long after its start a bootstrap candidate waits for all bootstrap voters before it goes on
/// with f + 1.
pub(crate) const BOOTSTRAP_GATHER_TIMEOUT_MS: u64 = 400;
/// How often bootstrap voters announce themselves to the seeds.
pub(crate) const BOOTSTRAP_ANNOUNCE_INTERVAL_MS: u64 = 60;
/// Silence after which a bootstrap voter is forgotten.
pub(crate) const BOOTSTRAP_VOTER_EXPIRY_MS: u64 = 1_500;
