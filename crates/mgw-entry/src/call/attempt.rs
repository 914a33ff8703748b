//! Attempts of a call: the choice of a target and the connection to it.

use mgw_base::arena::Key;
use mgw_base::time::Instant;
use mgw_event::{Body, Kind};
use mgw_route::select::{self, Criteria, Destination, Id, Target};
use smol_str::SmolStr;

use super::{Call, Error, Request, Route, UNAVAILABLE_RETRY_AFTER};
use crate::node::Node;

impl Node {
    /// Selects a target that is not among `tried`.
    pub(super) fn choose(
        &mut self,
        now: Instant,
        request: &Request,
        tried: &[Key<Target>],
        suspect: bool,
    ) -> Result<select::Selection, Error> {
        let criteria = Criteria {
            destination: &request.destination,
            adapter: request.adapter.as_deref(),
            prefixes: &request.prefixes,
            tried,
            suspect,
            can_probe: true,
        };
        self.targets.choose(&criteria, now, &mut self.random).map_err(|error| match error {
            select::Error::NotServed if self.is_declared(request) => {
                Error::Closed { retry_after: UNAVAILABLE_RETRY_AFTER }
            }
            select::Error::NotServed => Error::Unknown,
            select::Error::NoneAvailable | select::Error::AllTried => {
                Error::Closed { retry_after: UNAVAILABLE_RETRY_AFTER }
            }
            select::Error::AllRunSuspects => {
                Error::Overloaded { retry_after: UNAVAILABLE_RETRY_AFTER }
            }
        })
    }

    /// Whether the sheet declares the model or service and the adapter of a request.
    fn is_declared(&self, request: &Request) -> bool {
        let Some(sheet) = self.reader.state().sheet() else { return false };
        let adapted = request.adapter.as_ref().is_none_or(|adapter| {
            sheet.adapters.binary_search_by(|it| it.name.cmp(adapter)).is_ok()
        });
        adapted
            && match &request.destination {
                Destination::Model(name) => {
                    sheet.models.binary_search_by(|it| it.name.cmp(name)).is_ok()
                }
                Destination::Service(name) => {
                    sheet.services.binary_search_by(|it| it.name.cmp(name)).is_ok()
                }
            }
    }

    /// Records that a call is sent to a target.
    pub(super) fn start_attempt(&mut self, now: Instant, call: Key<Call>, target: Key<Target>) {
        let Some(active) = self.calls.get_mut(call) else { return };
        active.target = target;
        active.tried.push(target);
        active.disconnected = false;
        active.first_chunk = None;
        let request = &active.request;
        self.targets.start_request(target, active.number, active.suspect, &request.prefixes, now);
        let body = Body::new(Kind::RequestAdmitted).request(&request.id).team(&request.team);
        self.events.push(match self.targets.get(target).map(|it| it.id()) {
            Some(Id::Group(id)) => body.group(*id),
            Some(Id::Server(name)) => body.instance(name),
            None => body,
        });
    }

    /// The connection to open for a call; `None` if the call or the address of its target is
    /// unknown.
    pub(super) fn route(
        &self,
        call: Key<Call>,
        connection: u32,
        resume_from: u64,
    ) -> Option<Route> {
        let active = self.calls.get(call)?;
        let target = self.targets.get(active.target)?.id().clone();
        let address = self.address(&target)?;
        Some(Route { call, connection, target, address, resume_from })
    }

    /// The address of a server, or of a group's member of rank 0.
    pub(crate) fn address(&self, target: &Id) -> Option<SmolStr> {
        let state = self.reader.state();
        let sheet = state.sheet()?;
        match target {
            Id::Group(id) => {
                let seat = state.group(*id)?.members.first()?;
                let index = sheet.instances.binary_search_by(|it| it.name.cmp(&seat.instance));
                index.ok().map(|index| sheet.instances[index].address.clone())
            }
            Id::Server(name) => {
                let index = sheet.servers.binary_search_by(|it| it.name.cmp(name)).ok()?;
                Some(sheet.servers[index].address.clone())
            }
        }
    }
}
