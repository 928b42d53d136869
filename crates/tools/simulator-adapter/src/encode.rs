//! Writes the policy's actions as the wire has them.

use crate::wire::InstanceId;
use spanlead_balancing_policy::{Action, WorkerId};
use std::io::Write;

/// Opens the reply to a batch; returns its length so far.
pub(crate) fn begin_reply(batch: u64, reply: &mut Vec<u8>) -> usize {
    // Writing into a Vec cannot fail, here and below.
    let _ = write!(reply, "{{\"batch\":{batch},\"decisions\":[");
    reply.len()
}

/// Closes the reply; `opened` is what [`begin_reply`] returned.
pub(crate) fn end_reply(opened: usize, reply: &mut Vec<u8>) {
    if reply.len() > opened {
        // The comma after the last decision.
        reply.pop();
    }
    reply.extend_from_slice(b"]}\n");
}

/// Writes that a dispatcher panicked.
pub(crate) fn fault(instance: InstanceId, message: &str, reply: &mut Vec<u8>) {
    let message = quoted(message);
    let _ = write!(reply, "{{\"FAULT\":{{\"who\":{instance},\"msg\":{message}}}}},");
}

/// Writes an action.
pub(crate) fn action(instance: InstanceId, action: &Action, reply: &mut Vec<u8>) {
    let _ = match action {
        Action::Send { id, worker, timeout } => {
            let worker = quoted_worker(worker);
            let timeout = timeout.unwrap_or(0);
            let id = id.0;
            write!(
                reply,
                r#"{{"DELIVER":{{"who":{instance},"msgId":{id},"tryFor":{timeout},"worker":{worker}}}}},"#
            )
        }
        Action::Reject { id, retry_after } => {
            let after = retry_after.unwrap_or(0);
            write!(reply, r#"{{"BOUNCE":{{"who":{instance},"msgId":{},"retryAfter":{after}}}}},"#, id.0)
        }
        Action::Fail { id } => write!(reply, r#"{{"ERROR":{{"who":{instance},"msgId":{}}}}},"#, id.0),
        Action::Cancel { id, attempt } => {
            write!(reply, r#"{{"STOP_ATTEMPT":{{"who":{instance},"msgId":{},"roundNo":{attempt}}}}},"#, id.0)
        }
        Action::Timer { after, token } => {
            write!(reply, r#"{{"SCHEDULE":{{"who":{instance},"offset":{after},"ref":{token}}}}},"#)
        }
        Action::Probe { worker } => {
            write!(reply, r#"{{"INSPECT":{{"who":{instance},"worker":{}}}}},"#, quoted_worker(worker))
        }
        Action::CloseIdleConnections { worker } => {
            write!(reply, r#"{{"LET_GO":{{"who":{instance},"worker":{}}}}},"#, quoted_worker(worker))
        }
        Action::SendToPeer { peer, data } => {
            let peer = peer.map_or("\"all\"".to_owned(), |number| number.to_string());
            let hex: String = data.iter().map(|byte| format!("{byte:02x}")).collect();
            write!(reply, r#"{{"SAY":{{"who":{instance},"peer":{peer},"data":"{hex}"}}}},"#)
        }
        Action::Subscribe => write!(reply, r#"{{"FOLLOW":{{"who":{instance},"want":true}}}},"#),
        Action::FetchEndpoints => write!(reply, r#"{{"LIST_ALL":{{"who":{instance}}}}},"#),
        Action::Log(text) => {
            write!(reply, r#"{{"NOTE_DOWN":{{"who":{instance},"msg":{}}}}},"#, quoted(text))
        }
    };
}

fn quoted_worker(worker: &WorkerId) -> String {
    quoted(&worker.0)
}

/// The text as a JSON string.
fn quoted(text: &str) -> String {
    serde_json::to_string(text).unwrap_or_default()
}
