//! Conversion of a validated sheet to rows in canonical order, for `diff` and `write`.

use smol_str::{SmolStr, format_smolstr};

use crate::column::{Column, Kind};
use crate::sheet::Sheet;

/// A row of the sheet, which declares one entity or setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Row {
    pub(crate) kind: Kind,
    /// Identity of the row, unique within its kind: the name, or service, method and path of a
    /// call.
    pub(crate) name: SmolStr,
    /// Values of the kind's columns (see [`Kind::columns`]) in canonical order, none of them empty.
    pub(crate) cells: Vec<(Column, SmolStr)>,
}

/// Returns all rows of a sheet, sorted by kind and name.
pub(crate) fn rows(sheet: &Sheet) -> Vec<Row> {
    let mut rows = Vec::new();
    let mut push = |kind: Kind, name: &SmolStr, values: Vec<SmolStr>| {
        let cells = kind.columns().iter().copied().zip(values).collect();
        rows.push(Row { kind, name: name.clone(), cells });
    };
    let settings = &sheet.settings;
    for (name, value) in [
        ("deployment", settings.deployment.clone()),
        ("downtime_weight", format_per_mille(settings.downtime_weight)),
        ("weight_loads", format_number(settings.weight_loads)),
    ] {
        let name = SmolStr::new_static(name);
        push(Kind::Setting, &name, vec![name.clone(), value]);
    }
    for instance in &sheet.instances {
        let values = vec![
            instance.name.clone(),
            instance.zone.clone(),
            instance.domain.clone(),
            instance.accelerator.clone(),
            format_number(instance.accelerators),
            instance.address.clone(),
            format_flag(instance.fencing),
        ];
        push(Kind::Instance, &instance.name, values);
    }
    for model in &sheet.models {
        let values = vec![
            model.name.clone(),
            model.version.clone(),
            model.accelerator.clone(),
            format_number(model.instances),
            format_number(model.replicas),
            format_number(model.priority.into()),
        ];
        push(Kind::Model, &model.name, values);
    }
    for adapter in &sheet.adapters {
        push(Kind::Adapter, &adapter.name, vec![adapter.name.clone(), adapter.model.clone()]);
    }
    for team in &sheet.teams {
        let values = vec![
            team.name.clone(),
            format_number(team.rate),
            format_number(team.tokens),
            format_number(team.concurrency),
            team.key.clone(),
        ];
        push(Kind::Team, &team.name, values);
    }
    for service in &sheet.services {
        push(Kind::Service, &service.name, vec![service.name.clone()]);
    }
    for server in &sheet.servers {
        let values = vec![
            server.name.clone(),
            server.service.clone(),
            server.zone.clone(),
            server.address.clone(),
        ];
        push(Kind::Server, &server.name, values);
    }
    for call in &sheet.calls {
        let name = format_smolstr!("{} {} {}", call.service, call.method, call.path);
        let values = vec![
            call.service.clone(),
            call.method.clone(),
            call.path.clone(),
            format_flag(call.repeatable),
        ];
        push(Kind::Call, &name, values);
    }
    rows.sort_by(|a, b| (a.kind, &a.name).cmp(&(b.kind, &b.name)));
    rows
}

fn format_number(value: u32) -> SmolStr {
    format_smolstr!("{value}")
}

fn format_flag(value: bool) -> SmolStr {
    SmolStr::new_static(if value { "yes" } else { "no" })
}

/// Formats thousandths as a decimal number without trailing zeros, such as 750 as `0.75`.
fn format_per_mille(per_mille: u32) -> SmolStr {
    let text = format!("{}.{:03}", per_mille / 1_000, per_mille % 1_000);
    SmolStr::from(text.trim_end_matches('0').trim_end_matches('.'))
}
