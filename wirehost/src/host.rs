//! Translates between the wire and the dispatchers. It decides nothing.
use crate::wire;
use oatdock as od;
use oatdock::{Action, Dispatcher, Event, Outcome};
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
    has_free_slots: bool,
    has_free_memory: bool,
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
                let (has_free_slots, has_free_memory) = (
                    options.family_info.report_x0.as_deref() == Some("free slots"),
                    options.family_info.report_x1.as_deref() == Some("free memory"),
                );
                let settings = settings(*options).map_err(|why| format!("CONFIGURE of {who}: {why}"))?;
                let classes = settings.classes.len() as u32;
                let dispatcher =
                    Dispatcher::new(settings, salt).map_err(|why| format!("CONFIGURE of {who}: {why}"))?;
                self.instances.insert(who, Instance { dispatcher, classes, has_free_slots, has_free_memory });
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

    fn report(&self, who: u32, t: Option<wire::Telemetry>) -> Option<od::Report> {
        let instance = self.instances.get(&who)?;
        t.map(|t| od::Report {
            free_slots: t.x0.filter(|_| instance.has_free_slots),
            free_memory: t.x1.filter(|_| instance.has_free_memory),
            utilization: t.utilization,
            outstanding: t.outstanding,
            backlog: t.backlog,
            latency_ms: t.recent_ms,
            errors_per_s: t.errors_per_s,
        })
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

fn settings(o: wire::Options) -> Result<od::Settings, String> {
    let info = o.family_info;
    let by_priority = info.queue_order.as_deref() == Some("priority");
    let mut classes = Vec::with_capacity(o.grades.len());
    for (i, g) in o.grades.iter().enumerate() {
        let effect = match g.effect.as_str() {
            "idempotent" => od::Effect::Safe,
            "at_most_once" => od::Effect::Unsafe,
            "deduplicated" => od::Effect::Keyed {
                scope: match g.dedup_scope.as_deref() {
                    Some("all") | None => od::Scope::All,
                    Some("zone") => od::Scope::Zone,
                    Some("cell") => od::Scope::Cell,
                    Some(other) => {
                        return Err(format!("field grades[{i}].dedupScope: unknown scope `{other}`"));
                    }
                },
                ttl: g.key_ttl.unwrap_or(0),
            },
            other => return Err(format!("field grades[{i}].effect: unknown effect `{other}`")),
        };
        classes.push(od::Class {
            aim: g.aim,
            stretch: g.aim_stretch.or(info.class_stretch.get(i).copied()).unwrap_or(0.0),
            deadline: g.deadline,
            worth: g.value.unwrap_or(1.0),
            late_share: g.late_share.unwrap_or(0.0),
            effect,
            streaming: g.streaming,
            kind: info.class_kind.get(i).and_then(|k| u32::try_from(*k).ok()),
            priority: info.class_priority.get(i).copied().filter(|_| by_priority).unwrap_or(0),
        });
    }
    let must_ask = match o.discovery.as_deref() {
        Some("automatic") | None => false,
        Some("subscribe") => true,
        Some(other) => return Err(format!("field discovery: unknown mode `{other}`")),
    };
    let reports = match o.report.via.as_deref() {
        Some("answers") => od::ReportVia::Answers,
        Some("probe") => od::ReportVia::Probe,
        Some("none") | None => od::ReportVia::None,
        Some(other) => return Err(format!("field report.via: unknown value `{other}`")),
    };
    let (l, p, r) = (o.limits, o.prices, o.rules);
    Ok(od::Settings {
        me: o.me,
        instances: o.n_instances.unwrap_or(1),
        zone: o.az,
        kinds: o.kinds.len() as u32,
        tick: o.round.unwrap_or(1_000_000),
        classes,
        tenants: o.tenants.iter().map(|t| od::Tenant { quota_per_s: t.quota_per_s.unwrap_or(0.0) }).collect(),
        over_share_worth: o.over_share_worth.unwrap_or(1.0),
        must_ask,
        limits: od::Limits {
            attempts: l.max_attempts.unwrap_or(1),
            cancel: l.cancel,
            probes: l.probes,
            peers: l.peer_messages,
            second_copies: l.second_copies,
            retry_after: l.retry_after,
            max_retry_after: l.max_retry_after,
            connect_timeout: l.connect_timeout,
            conn_idle: l.conn_idle,
            streams_per_conn: l.streams_per_conn.unwrap_or(1),
        },
        prices: od::Prices {
            cross_zone: p.cross_zone,
            waste: p.waste,
            connection: p.connection,
            handshake: p.handshake,
            origin: p.origin,
            probe: p.probe,
            peer: p.peer,
            late_fail: p.late_fail,
        },
        reports,
        rules: od::Rules {
            ask_every: r.ask_every,
            cold: r.cold,
            cold_from: r.cold_from.unwrap_or(1.0),
            drain_grace: r.drain_grace,
            tip_after: r.tip_after,
            tip_multiple: r.tip_multiple.unwrap_or(1.0),
        },
        progress: info.progress,
        tells_start: info.tells_start,
    })
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
