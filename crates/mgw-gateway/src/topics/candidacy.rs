//! The application of this entry for the planner's role.

use std::time::Duration;

use mgw_event::Kind;
use mgw_event::event::Body;
use mgw_fleet::entry::{self, Role};
use mgw_fleet::position::Position;
use platform::store::{self, Call};

use crate::clock;
use crate::gateway::Gateway;
use crate::store::{Client, Error};
use crate::topics::read::{check_era, decode_error};

/// Applies for the planner's role if it is vacant, by appending a record to the entries' topic. The
/// append is conditional: it succeeds only if the topic still ends at `end`, up to which this entry
/// has read, so at most one of several candidates gets the role.
pub(super) async fn apply_for_planner_role(
    gateway: &Gateway,
    client: &mut Client,
    end: Option<Position>,
) {
    let now = clock::now();
    let name = &gateway.settings.entry_name;
    let role = gateway.with(|state| state.role(name, gateway.incarnation, now));
    if role != Role::Candidate {
        return;
    }
    let leader = entry::Leader { entry: name.to_string(), incarnation: gateway.incarnation };
    let value = match entry::encode(&entry::Record::Leader(leader.clone())) {
        Ok(value) => value,
        Err(error) => {
            gateway.record(Body::new(Kind::LeadLost).entry(name).text(error));
            return;
        }
    };
    let call =
        store::append(store::ENTRIES_TOPIC, entry::LEADER_KEY, &value, end.map(|end| end.offset));
    match append_leader(gateway, client, &call, end).await {
        Ok(position) => gateway.with(|state| state.entries.apply_leader(position.pack(), leader)),
        // The record may have been appended all the same; the next read shows whether it was.
        Err(error) => {
            let text = format!("application for the planner's role: {error}");
            gateway.record(Body::new(Kind::LeadLost).entry(name).text(text));
        }
    }
}

/// Appends a leader record with `call`, which names the offset of `end`. Returns its position.
async fn append_leader(
    gateway: &Gateway,
    client: &mut Client,
    call: &Call,
    end: Option<Position>,
) -> Result<Position, Error> {
    let response = client.call(call, Duration::ZERO).await?;
    check_era(gateway, response.era, end.map(|end| end.era))?;
    let offset = store::parse_appended(&response.body).map_err(decode_error)?;
    Ok(Position { era: response.era, offset })
}
