//! Waiting for a slot in the queue of the targets that may serve the request.

use std::rc::Rc;
use std::time::Instant;

use crate::node::fleet::Target;
use crate::node::proxy::dispatch::Dispatch;
use crate::node::proxy::dispatch::POLL_INTERVAL;
use crate::node::proxy::dispatch::Refusal;
use crate::node::queues::Resource;
use crate::overload::queue::Request;

impl Dispatch<'_> {
    /// Returns what the request waits for; `None` if no queue leads to a target, as it was sent to all
    /// of them or its key has no owner.
    pub(super) fn resource(&self) -> Option<Resource> {
        if let Some(key) = self.routed.key {
            let owner = self.owner(key).ok()?;
            return Some(Resource::Owner(owner.entry.id.clone()));
        }
        let fleet = self.state.fleet.borrow();
        let mut targets = fleet.of(&self.routed.service).iter();
        let is_left =
            |target: &Rc<Target>| !target.leaving.get() && !self.tried.contains(&target.entry.id);
        targets
            .any(is_left)
            .then(|| Resource::Service(self.routed.service.clone()))
    }

    /// Returns what a request waits for that this target serves.
    pub(super) fn resource_of(&self, target: &Target) -> Resource {
        match self.routed.key {
            Some(_) => Resource::Owner(target.entry.id.clone()),
            None => Resource::Service(self.routed.service.clone()),
        }
    }

    /// Returns true if no waiting request is to start before this one.
    pub(super) fn is_next(&self, resource: &Resource, now: Instant) -> bool {
        let place = self.place.as_ref();
        self.state.queues.may_start(resource, place, now)
    }

    /// Returns the chosen target of an unkeyed service, unless other requests go first.
    pub(super) fn after_others(
        &self,
        chosen: Result<Rc<Target>, Refusal>,
        now: Instant,
    ) -> Result<Rc<Target>, Refusal> {
        let chosen = chosen?;
        let resource = Resource::Service(self.routed.service.clone());
        match self.is_next(&resource, now) {
            true => Ok(chosen),
            false => Err(Refusal::Busy),
        }
    }

    /// Records that the request is sent to a target, which ends its wait.
    pub(super) fn leave_queue(&mut self, target: &Target, now: Instant) {
        if target.is_relay {
            self.place = None;
            return;
        }
        let resource = self.resource_of(target);
        match self.place.take() {
            Some(place) if *place.resource() == resource => place.start(now),
            _ => {
                let queues = &self.state.queues;
                queues.record_start(&resource, self.routed.priority, now);
            }
        }
    }

    /// Waits for the request's turn; returns false if it is refused.
    pub(super) async fn wait_in_queue(&mut self, resource: Resource, now: Instant) -> bool {
        let place = self.place.take();
        let place = match place.filter(|place| *place.resource() == resource) {
            Some(place) => place,
            None => {
                let request = self.queued_request(now);
                let Some(place) = self.state.queues.join(resource, request, now) else {
                    return false;
                };
                if self.state.queues.waiting(place.resource()) > 1 && place.is_next(now) {
                    // A slot may be free that it was not to take before the others.
                    self.place = Some(place);
                    return true;
                }
                place
            }
        };
        if place.is_over(now) {
            return false;
        }
        let is_next = place.is_next(now);
        if is_next && !self.is_flexible() {
            place.pass_over(now);
        }
        let until = match is_next {
            true => place.until().min(now + POLL_INTERVAL),
            false => place.until(),
        };
        let changed = self.state.routing_changed.notified();
        tokio::select! {
            () = place.woken() => {}
            () = changed => {}
            () = tokio::time::sleep_until(until.into()) => {}
        }
        let is_over = place.is_over(Instant::now());
        self.place = Some(place);
        !is_over
    }

    fn queued_request(&self, now: Instant) -> Request {
        Request {
            priority: self.routed.priority,
            arrived: self.routed.started,
            objective: self.routed.objective,
            deadline: self.routed.deadline,
            is_repeat: self.state.queues.is_repeat(self.routed.source, now),
        }
    }

    /// Returns true if any target that has a free slot may get the request.
    fn is_flexible(&self) -> bool {
        self.routed.key.is_some() || self.tried.is_empty() && self.routed.kind.is_idempotent()
    }
}
