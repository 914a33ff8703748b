//! The configuration, and tables of groups, instances and entries, for the commands `show` and `why`.

use anyhow::Result;
use serde_json::Value;

use crate::client::{Client, Reply};
use crate::exit::{Exit, Failure};
use crate::run::{Command, ensure_one_of, request_failure};
use crate::{history, table};

/// A list in the operators interface of the entries.
struct List {
    /// Name of the list as argument of the command, in the URL path and as field of the reply.
    name: &'static str,
    /// Fields of an item that are shown, in the order of the table's columns.
    columns: &'static [&'static str],
}

/// The lists that `show` supports.
const LISTS: [List; 3] = [
    List {
        name: "groups",
        columns: &[
            "group", "model", "version", "fence", "zone", "domain", "servable", "phase", "reason",
            "members",
        ],
    },
    List {
        name: "instances",
        columns: &[
            "instance",
            "zone",
            "domain",
            "accelerator",
            "accelerators",
            "status",
            "group",
            "custody",
            "mark",
            "stranded_because",
        ],
    },
    List {
        name: "entries",
        columns: &[
            "entry",
            "incarnation",
            "callers",
            "peers",
            "zone",
            "phase",
            "applied",
            "planner",
        ],
    },
];

impl List {
    /// Formats a reply as a table. Returns `None` if the reply does not contain the list.
    fn render(&self, answer: &Value) -> Option<String> {
        let items = answer.get(self.name)?.as_array()?;
        let row = |item: &Value| {
            let cells = self.columns.iter().map(|column| match (*column, item.get(column)) {
                ("members", Some(members)) => format_members(members),
                (_, value) => table::format_cell(value.unwrap_or(&Value::Null)),
            });
            cells.collect::<Vec<_>>()
        };
        let rows: Vec<_> = items.iter().map(row).collect();
        Some(table::format(self.columns, &rows))
    }
}

impl Command<'_> {
    /// Prints a list of groups, instances or entries, or the configuration.
    pub(crate) async fn show(&mut self, client: &Client, what: &str) -> Result<Exit> {
        let Some(list) = LISTS.iter().find(|list| list.name == what) else {
            ensure_one_of("what", what, &["config", "groups", "instances", "entries"])?;
            return self.show_config(client).await;
        };
        let reply = client.get(&format!("/operator/v1/{what}")).await.map_err(request_failure)?;
        let answer: Value = reply.json().map_err(|error| request_failure(vec![error]))?;
        if self.json {
            writeln!(self.out, "{answer}")?;
            return Ok(Exit::Done);
        }
        let text = list.render(&answer).ok_or_else(|| malformed_reply(&reply))?;
        write!(self.out, "{text}")?;
        Ok(Exit::Done)
    }

    /// Prints the table row of one instance or group. With JSON output, it only checks that the
    /// item exists, so that each line of the output is an event.
    pub(crate) async fn show_item(
        &mut self,
        client: &Client,
        what: &str,
        name: &str,
    ) -> Result<()> {
        let lists = if what == "group" { "groups" } else { "instances" };
        let Some(list) = LISTS.iter().find(|list| list.name == lists) else { return Ok(()) };
        let reply = client.get(&format!("/operator/v1/{lists}")).await.map_err(request_failure)?;
        let mut answer: Value = reply.json().map_err(|error| request_failure(vec![error]))?;
        let items = answer.get_mut(lists).and_then(Value::as_array_mut);
        let items = items.ok_or_else(|| malformed_reply(&reply))?;
        items.retain(|item| item.get(what).is_some_and(|value| table::format_cell(value) == name));
        if items.is_empty() {
            let text = format!("the entry knows no {what} {name}");
            return Err(Failure::new(Exit::Refused, text).into());
        }
        if !self.json {
            let text = list.render(&answer).ok_or_else(|| malformed_reply(&reply))?;
            write!(self.out, "{text}")?;
        }
        Ok(())
    }

    /// Prints the sheet in force to `out`, so that it can be redirected to a file, and its version
    /// to `err`.
    async fn show_config(&mut self, client: &Client) -> Result<Exit> {
        let reply = client.get("/operator/v1/config").await.map_err(request_failure)?;
        if self.json {
            let answer: Value = reply.json().map_err(|error| request_failure(vec![error]))?;
            writeln!(self.out, "{answer}")?;
            return Ok(Exit::Done);
        }
        let config: history::Config = reply.json().map_err(|error| request_failure(vec![error]))?;
        let history::Config { version, publication, sheet, .. } = config;
        writeln!(self.err, "version {version}, publication {publication}")?;
        write!(self.out, "{sheet}")?;
        if !sheet.is_empty() && !sheet.ends_with('\n') {
            writeln!(self.out)?;
        }
        Ok(Exit::Done)
    }
}

/// Formats the members of a group as `instance:state`, without their boot ids.
fn format_members(members: &Value) -> String {
    let members = members.as_array().map(Vec::as_slice).unwrap_or_default();
    let field = |member: &Value, name| table::format_cell(member.get(name).unwrap_or(&Value::Null));
    let members: Vec<_> = members
        .iter()
        .map(|member| format!("{}:{}", field(member, "instance"), field(member, "state")))
        .collect();
    members.join(",")
}

/// Returns the failure for a reply whose body does not have the expected fields.
fn malformed_reply(reply: &Reply) -> Failure {
    let text = format!("entry {}: the answer has an unexpected form", reply.entry);
    Failure::new(Exit::Unreachable, text)
}
