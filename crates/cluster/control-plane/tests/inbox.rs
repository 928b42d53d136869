//! What a control plane takes first.
use spanlead_cluster_runtime::frame::Frame;
use spanlead_control_plane::{Input, inbox};
use spanlead_replication::{Envelope, MemberId, Message};

/// A primary that is behind with the answers of workers must not lose its lease to them.
#[async_std::test]
async fn leases_and_batches_go_before_all_else() {
    let (inputs, inbox) = inbox();
    for _ in 0..10_000 {
        inputs.put(Input::Terminate);
    }
    let message = Message::LeaveResponse { must_wait: false };
    let envelope = Envelope { from: MemberId(1), to: None, message };
    inputs.put(Input::Frame(Frame::Replication(envelope), None));
    inputs.put(Input::Written(7));
    inputs.put(Input::PeerDown("a:1".to_owned()));
    assert!(matches!(inbox.next().await, Some(Input::Frame(Frame::Replication(_), _))));
    assert!(matches!(inbox.try_next(), Some(Input::Written(7))));
    assert!(matches!(inbox.try_next(), Some(Input::PeerDown(_))));
    assert!(matches!(inbox.next().await, Some(Input::Terminate)));
}
