//! The order in which a node receives its queued inputs.
use spanlead_cluster_runtime::frame::Frame;
use spanlead_control_plane::input::Input;
use spanlead_control_plane::input_queue::input_queue;
use spanlead_replication::{Envelope, MemberId, Message};

/// Guards against a primary that loses its lease because replication messages wait behind a backlog
/// of worker responses.
#[async_std::test]
async fn urgent_inputs_are_received_before_a_backlog_of_normal_inputs() {
    let (inputs, queue) = input_queue();
    for _ in 0..10_000 {
        inputs.send(Input::Terminate);
    }
    let message = Message::LeaveResponse { must_wait: false };
    let envelope = Envelope { from: MemberId(1), to: None, message };
    inputs.send(Input::Frame(Frame::Replication(envelope), None));
    inputs.send(Input::Written(7));
    inputs.send(Input::PeerDisconnected("a:1".to_owned()));
    assert!(matches!(queue.next().await, Some(Input::Frame(Frame::Replication(_), _))));
    assert!(matches!(queue.try_next(), Some(Input::Written(7))));
    assert!(matches!(queue.try_next(), Some(Input::PeerDisconnected(_))));
    assert!(matches!(queue.next().await, Some(Input::Terminate)));
}
