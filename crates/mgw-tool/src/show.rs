//! Tables of groups, instances and entries for the command `show`.

use serde_json::Value;

use crate::table;

/// A list in the operators interface of the entries.
pub(crate) struct List {
    /// Name of the list as argument of the command, in the URL path and as field of the reply.
    pub(crate) name: &'static str,
    /// Fields of an item that are shown, in the order of the table's columns.
    columns: &'static [&'static str],
}

/// The lists that `show` supports.
pub(crate) const LISTS: [List; 3] = [
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
    pub(crate) fn render(&self, answer: &Value) -> Option<String> {
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
