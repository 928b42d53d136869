//! Translates between the wire and the dispatchers. It decides nothing.
use crate::wire;
use spanlead_balancing_policy as od;
use spanlead_balancing_policy::{Action, Dispatcher, Event, Outcome};
use spanlead_deployment_settings::{Deployment, Figures, Reports};
use std::collections::BTreeMap;
use std::io::Write;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// The dispatchers of one process.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    actions: Vec<Action>,
}

struct Instance {
    dispatcher: Dispatcher,
    classes: u32,
    reports: Reports,
}

impl Host {
    /// Answers one batch; the error says which batch, which field and why.
    pub fn turn(&mut self, line: &[u8], reply: &mut Vec<u8>) -> Result<(), String> {
        let batch: wire::Batch<'_> = match serde_json::from_slice(line) {
            Ok(batch) => batch,
            Err(plain) => return Err(explain(line, &plain)),
        };
        let _ = write!(reply, "{{\"batch\":{},\"decisions\":[", batch.number);
        let empty = reply.len();
        for event in batch.events {
            let (who, fault) =
                self.event(batch.now, event).map_err(|why| format!("batch {}: {why}", batch.number))?;
            for action in self.actions.drain(..) {
                write_action(who, &action, reply);
            }
            if let Some(text) = fault {
                let text = serde_json::to_string(&text).unwrap_or_default();
                let _ = write!(reply, "{{\"FAULT\":{{\"who\":{who},\"msg\":{text}}}}},");
            }
        }
        if reply.len() > empty {
            reply.pop();
        }
        reply.extend_from_slice(b"]}\n");
        Ok(())
    }

    fn event(&mut self, now: u64, event: wire::Event<'_>) -> Result<(u32, Option<String>), String> {
        let rows;
        let data;
        let (who, event) = match event {
            wire::Event::Configure { who, salt, options } => {
                let Deployment { settings, names, reports, .. } =
                    Deployment::read(*options).map_err(|why| format!("CONFIGURE of {who}: {why}"))?;
                let classes = names.classes.len() as u32;
                let dispatcher =
                    Dispatcher::new(settings, salt).map_err(|why| format!("CONFIGURE of {who}: {why}"))?;
                self.instances.insert(who, Instance { dispatcher, classes, reports });
                return Ok((who, None));
            }
            wire::Event::Shutdown(e) => {
                self.instances.remove(&e.who);
                return Ok((e.who, None));
            }
            wire::Event::Announce(e) => {
                let scope = match e.scope {
                    wire::ListScope::Update => od::ListScope::Changes,
                    wire::ListScope::Replace => od::ListScope::Full,
                    wire::ListScope::Restored => od::ListScope::Cached,
                    wire::ListScope::Unavailable => od::ListScope::Failed,
                };
                rows = e.rows_in.unwrap_or_default();
                let entries: Vec<od::Entry<'_>> = rows.iter().map(entry).collect();
                return self.give(now, e.who, "ANNOUNCE", Event::Members { scope, entries: &entries });
            }
            wire::Event::Call(e) => {
                let classes = self.instances.get(&e.who).map_or(u32::MAX, |i| i.classes);
                if e.class >= classes {
                    return Err(format!("CALL: type {} is no class of instance {}", e.class, e.who));
                }
                let request = od::Request {
                    id: od::RequestId(e.msg_id),
                    class: e.class,
                    slots: e.slots.unwrap_or(1.0),
                    memory: e.mem.unwrap_or(0.0),
                    tenant: e.team.unwrap_or(0),
                    key: e.item,
                    hint: e.estimate,
                    left: e.time_left,
                };
                (e.who, Event::Request(request))
            }
            wire::Event::Streaming(e) => {
                (e.who, Event::FirstByte { id: od::RequestId(e.msg_id), attempt: e.round_no })
            }
            wire::Event::Ended(e) => {
                let event = Event::Ended {
                    id: od::RequestId(e.msg_id),
                    attempt: e.round_no,
                    outcome: outcome(&e.how).ok_or_else(|| format!("ENDED: unknown how `{}`", e.how))?,
                    closed: e.no_more.unwrap_or(false),
                    lag: e.lag.unwrap_or(0),
                    report: self.report(e.who, e.telemetry),
                };
                (e.who, event)
            }
            wire::Event::Gone(e) => (e.who, Event::Gone(od::RequestId(e.msg_id))),
            wire::Event::Ring(e) => (e.who, Event::Timer(e.token)),
            wire::Event::HealthResult(e) => {
                let outcome =
                    outcome(&e.how).ok_or_else(|| format!("HEALTH_RESULT: unknown how `{}`", e.how))?;
                let (lag, report) = (e.lag.unwrap_or(0), self.report(e.who, e.telemetry));
                data = e.worker;
                (e.who, Event::Probed { worker: &data, outcome, lag, report })
            }
            wire::Event::Mail(e) => {
                let bytes = unhex(&e.data).ok_or_else(|| "MAIL: data is not hex".to_owned())?;
                return self.give(now, e.who, "MAIL", Event::Peer { from: e.neighbour, data: &bytes });
            }
            wire::Event::Notice(e) => {
                let note = match e.what {
                    1 => od::Note::Started,
                    2 => od::Note::Progress(e.level.unwrap_or(0.0)),
                    _ => return Ok((e.who, None)),
                };
                (e.who, Event::Note { id: od::RequestId(e.msg_id), attempt: e.round_no, note })
            }
        };
        self.give(now, who, "event", event)
    }

    fn give(
        &mut self,
        now: u64,
        who: u32,
        what: &str,
        event: Event<'_>,
    ) -> Result<(u32, Option<String>), String> {
        let Some(instance) = self.instances.get_mut(&who) else {
            return Err(format!("{what}: field who: instance {who} was never configured"));
        };
        let actions = &mut self.actions;
        let fault = catch_unwind(AssertUnwindSafe(|| instance.dispatcher.handle(now, event, actions)))
            .err()
            .map(|panic| {
                let text = panic.downcast_ref::<String>().map(String::as_str);
                text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("panic").to_owned()
            });
        Ok((who, fault))
    }

    fn report(&self, who: u32, figures: Option<Figures>) -> Option<od::Report> {
        let instance = self.instances.get(&who)?;
        figures.map(|f| instance.reports.report(f))
    }
}

fn explain(line: &[u8], plain: &serde_json::Error) -> String {
    #[derive(serde::Deserialize)]
    struct Number {
        batch: Option<u64>,
    }
    let number = serde_json::from_slice::<Number>(line).ok().and_then(|n| n.batch);
    let number = number.map_or("unknown".to_owned(), |n| n.to_string());
    let mut reader = serde_json::Deserializer::from_slice(line);
    match serde_path_to_error::deserialize::<_, wire::Batch<'_>>(&mut reader) {
        Err(error) => format!("batch {number}: field {}: {}", error.path(), error.inner()),
        Ok(_) => format!("batch {number}: {plain}"),
    }
}

fn entry<'a>(row: &'a wire::Row<'_>) -> od::Entry<'a> {
    od::Entry {
        worker: &row.worker,
        state: match row.readiness {
            wire::Readiness::Healthy => od::WorkerState::Ready,
            wire::Readiness::Cordoned => od::WorkerState::Draining,
            wire::Readiness::Deregistered => od::WorkerState::Gone,
        },
        started: row.ready_at.filter(|t| *t > 0),
        kind: row.family_type.unwrap_or(0),
        zone: row.az.unwrap_or(0),
        cell: row.cell.unwrap_or(0),
        weight: row.scale.unwrap_or(1.0),
    }
}

fn outcome(how: &str) -> Option<Outcome> {
    Some(match how {
        "Ok" => Outcome::Ok,
        "Failed" => Outcome::Error,
        "QueueFull" => Outcome::Full,
        "TimedOut" => Outcome::Timeout,
        "ConnectError" => Outcome::ConnectFailed,
        "ResetByPeer" => Outcome::Reset,
        "Canceled" => Outcome::Cancelled,
        "Ignored" => Outcome::Moot,
        _ => return None,
    })
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    let digit = |c: u8| char::from(c).to_digit(16).map(|d| d as u8);
    let pairs = text.as_bytes().chunks(2);
    pairs.map(|p| Some(digit(p[0])? << 4 | digit(*p.get(1)?)?)).collect()
}

fn write_action(who: u32, action: &Action, to: &mut Vec<u8>) {
    let quoted = |text: &str| serde_json::to_string(text).unwrap_or_default();
    // Writing into a Vec cannot fail.
    let _ = match action {
        Action::Send { id, worker, timeout } => {
            let (id, worker) = (id.0, quoted(&worker.0));
            let limit = timeout.unwrap_or(0);
            write!(to, r#"{{"DELIVER":{{"who":{who},"msgId":{id},"tryFor":{limit},"worker":{worker}}}}},"#)
        }
        Action::Refuse { id, retry_after } => {
            let after = retry_after.unwrap_or(0);
            write!(to, r#"{{"BOUNCE":{{"who":{who},"msgId":{},"retryAfter":{after}}}}},"#, id.0)
        }
        Action::Fail { id } => write!(to, r#"{{"ERROR":{{"who":{who},"msgId":{}}}}},"#, id.0),
        Action::Cancel { id, attempt } => {
            write!(to, r#"{{"STOP_ATTEMPT":{{"who":{who},"msgId":{},"roundNo":{attempt}}}}},"#, id.0)
        }
        Action::Timer { after, token } => {
            write!(to, r#"{{"SCHEDULE":{{"who":{who},"offset":{after},"ref":{token}}}}},"#)
        }
        Action::Probe { worker } => {
            write!(to, r#"{{"INSPECT":{{"who":{who},"worker":{}}}}},"#, quoted(&worker.0))
        }
        Action::Close { worker } => {
            write!(to, r#"{{"LET_GO":{{"who":{who},"worker":{}}}}},"#, quoted(&worker.0))
        }
        Action::Tell { peer, data } => {
            let peer = peer.map_or("\"all\"".to_owned(), |p| p.to_string());
            let hex: String = data.iter().map(|b| format!("{b:02x}")).collect();
            write!(to, r#"{{"SAY":{{"who":{who},"peer":{peer},"data":"{hex}"}}}},"#)
        }
        Action::Subscribe => write!(to, r#"{{"FOLLOW":{{"who":{who},"want":true}}}},"#),
        Action::FetchList => write!(to, r#"{{"LIST_ALL":{{"who":{who}}}}},"#),
        Action::Log(text) => write!(to, r#"{{"NOTE_DOWN":{{"who":{who},"msg":{}}}}},"#, quoted(text)),
    };
}
