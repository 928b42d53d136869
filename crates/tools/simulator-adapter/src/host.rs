//! The dispatchers of one process, and the events that reach them.

use crate::error::{BatchError, BatchNumber, BatchProblem, EventName};
use crate::wire::{self, InstanceId};
use crate::{decode, encode};
use spanlead_balancing_policy::{Action, Dispatcher, Endpoint, Event, LoadReport, Nanos, RequestId};
use spanlead_deployment_settings::{Deployment, DeploymentOptions, ReportMapping, ReportedFigures};
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// The dispatchers of one process.
#[derive(Default)]
pub(crate) struct Host {
    instances: BTreeMap<InstanceId, Instance>,
    /// The actions of the event in hand.
    actions: Vec<Action>,
}

struct Instance {
    dispatcher: Dispatcher,
    class_count: u32,
    report_mapping: ReportMapping,
}

/// An event that reached its instance.
struct Handled {
    instance: InstanceId,
    /// The message of the panic, if the dispatcher panicked.
    fault: Option<String>,
}

impl Handled {
    fn without_fault(instance: InstanceId) -> Self {
        Handled { instance, fault: None }
    }
}

impl Host {
    /// Handles one batch and appends the reply.
    pub(crate) fn handle_batch(&mut self, line: &[u8], reply: &mut Vec<u8>) -> Result<(), BatchError> {
        let batch = decode::batch(line)?;
        let opened = encode::begin_reply(batch.number, reply);
        for event in batch.events {
            let handled = self
                .handle_event(batch.now, event)
                .map_err(|problem| BatchError { batch: BatchNumber(Some(batch.number)), problem })?;
            for action in self.actions.drain(..) {
                encode::action(handled.instance, &action, reply);
            }
            if let Some(message) = handled.fault {
                encode::fault(handled.instance, &message, reply);
            }
        }
        encode::end_reply(opened, reply);
        Ok(())
    }

    fn handle_event(&mut self, now: Nanos, event: wire::Event<'_>) -> Result<Handled, BatchProblem> {
        match event {
            wire::Event::Configure { instance, seed, options } => self.configure(instance, seed, *options),
            wire::Event::Shutdown(shutdown) => {
                self.instances.remove(&shutdown.instance);
                Ok(Handled::without_fault(shutdown.instance))
            }
            wire::Event::Announce(announce) => self.change_endpoints(now, announce),
            wire::Event::Call(call) => self.accept_request(now, &call),
            wire::Event::Streaming(started) => {
                let id = RequestId(started.request);
                let event = Event::ResponseStarted { id, attempt: started.attempt };
                self.dispatch(now, started.instance, EventName::Other, event)
            }
            wire::Event::Ended(ended) => self.end_attempt(now, &ended),
            wire::Event::Gone(gone) => {
                let event = Event::ClientGone(RequestId(gone.request));
                self.dispatch(now, gone.instance, EventName::Other, event)
            }
            wire::Event::Ring(timer) => {
                self.dispatch(now, timer.instance, EventName::Other, Event::TimerFired(timer.token))
            }
            wire::Event::HealthResult(result) => self.end_probe(now, &result),
            wire::Event::Mail(mail) => {
                let data = decode::peer_message(&mail.data)?;
                let event = Event::PeerMessage { from: mail.sender, data: &data };
                self.dispatch(now, mail.instance, EventName::Mail, event)
            }
            wire::Event::Notice(notice) => self.report_progress(now, &notice),
        }
    }

    fn configure(
        &mut self,
        instance: InstanceId,
        seed: u64,
        options: DeploymentOptions,
    ) -> Result<Handled, BatchProblem> {
        let deployment = Deployment::from_options(options)
            .map_err(|error| BatchProblem::InvalidOptions { instance, error })?;
        let class_count = deployment.names.classes.len() as u32;
        let report_mapping = deployment.report_mapping;
        let dispatcher = Dispatcher::new(deployment.settings, seed)
            .map_err(|error| BatchProblem::InvalidSettings { instance, error })?;
        self.instances.insert(instance, Instance { dispatcher, class_count, report_mapping });
        Ok(Handled::without_fault(instance))
    }

    fn change_endpoints(
        &mut self,
        now: Nanos,
        announce: wire::Announce<'_>,
    ) -> Result<Handled, BatchProblem> {
        let update = decode::endpoint_update(&announce.scope);
        let rows = announce.rows.unwrap_or_default();
        let endpoints: Vec<Endpoint<'_>> = rows.iter().map(decode::endpoint).collect();
        let event = Event::EndpointsChanged { update, endpoints: &endpoints };
        self.dispatch(now, announce.instance, EventName::Announce, event)
    }

    fn accept_request(&mut self, now: Nanos, call: &wire::Call) -> Result<Handled, BatchProblem> {
        let instance = call.instance;
        let class_count = self.instances.get(&instance).map_or(u32::MAX, |known| known.class_count);
        if call.class >= class_count {
            return Err(BatchProblem::UnknownClass { class: call.class, instance });
        }
        self.dispatch(now, instance, EventName::Other, Event::RequestArrived(decode::request(call)))
    }

    fn end_attempt(&mut self, now: Nanos, ended: &wire::Ended<'_>) -> Result<Handled, BatchProblem> {
        let event = Event::AttemptEnded {
            id: RequestId(ended.request),
            attempt: ended.attempt,
            outcome: decode::outcome(EventName::Ended, &ended.outcome)?,
            request_closed: ended.closed.unwrap_or(false),
            elapsed: ended.elapsed.unwrap_or(0),
            report: self.load_report(ended.instance, ended.figures),
        };
        self.dispatch(now, ended.instance, EventName::Other, event)
    }

    fn end_probe(&mut self, now: Nanos, result: &wire::HealthResult<'_>) -> Result<Handled, BatchProblem> {
        let event = Event::ProbeEnded {
            worker: &result.worker,
            outcome: decode::outcome(EventName::HealthResult, &result.outcome)?,
            elapsed: result.elapsed.unwrap_or(0),
            report: self.load_report(result.instance, result.figures),
        };
        self.dispatch(now, result.instance, EventName::Other, event)
    }

    fn report_progress(&mut self, now: Nanos, notice: &wire::Notice) -> Result<Handled, BatchProblem> {
        let Some(progress) = decode::progress(notice) else {
            return Ok(Handled::without_fault(notice.instance));
        };
        let id = RequestId(notice.request);
        let event = Event::AttemptProgressed { id, attempt: notice.attempt, progress };
        self.dispatch(now, notice.instance, EventName::Other, event)
    }

    /// Hands an event to its dispatcher, whose panic becomes a fault in the reply.
    fn dispatch(
        &mut self,
        now: Nanos,
        instance: InstanceId,
        name: EventName,
        event: Event<'_>,
    ) -> Result<Handled, BatchProblem> {
        let Some(known) = self.instances.get_mut(&instance) else {
            return Err(BatchProblem::UnknownInstance { event: name, instance });
        };
        let actions = &mut self.actions;
        let result = catch_unwind(AssertUnwindSafe(|| known.dispatcher.handle(now, event, actions)));
        let fault = result.err().map(|panic| panic_message(&*panic));
        Ok(Handled { instance, fault })
    }

    fn load_report(&self, instance: InstanceId, figures: Option<ReportedFigures>) -> Option<LoadReport> {
        let known = self.instances.get(&instance)?;
        figures.map(|figures| known.report_mapping.to_load_report(figures))
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> String {
    let owned = panic.downcast_ref::<String>().map(String::as_str);
    let text = owned.or(panic.downcast_ref::<&str>().copied());
    text.unwrap_or("panic").to_owned()
}
