//! The rows of a checked sheet in canonical order, as `diff` and `write` see them.

use smol_str::{SmolStr, format_smolstr};

use crate::column::{Column, Kind};
use crate::sheet::Sheet;

/// One entity or setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Row {
    pub(crate) kind: Kind,
    /// Unique within the kind: the name, or service, method and path of a call.
    pub(crate) name: SmolStr,
    /// The columns of the kind in canonical order, all with a value.
    pub(crate) cells: Vec<(Column, SmolStr)>,
}

/// All rows of a sheet, ascending by kind and name.
pub(crate) fn rows(sheet: &Sheet) -> Vec<Row> {
    let mut rows = Vec::new();
    let mut push = |kind: Kind, name: &SmolStr, values: Vec<SmolStr>| {
        let cells = kind.columns().iter().copied().zip(values).collect();
        rows.push(Row { kind, name: name.clone(), cells });
    };
    let settings = &sheet.settings;
    for (name, value) in [
        ("deployment", settings.deployment.clone()),
        ("downtime_weight", decimal(settings.downtime_weight)),
        ("weight_loads", number(settings.weight_loads)),
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
            number(instance.accelerators),
            instance.address.clone(),
            flag(instance.fencing),
        ];
        push(Kind::Instance, &instance.name, values);
    }
    for model in &sheet.models {
        let values = vec![
            model.name.clone(),
            model.version.clone(),
            model.accelerator.clone(),
            number(model.instances),
            number(model.replicas),
            number(model.priority.into()),
        ];
        push(Kind::Model, &model.name, values);
    }
    for adapter in &sheet.adapters {
        push(Kind::Adapter, &adapter.name, vec![adapter.name.clone(), adapter.model.clone()]);
    }
    for team in &sheet.teams {
        let values = vec![
            team.name.clone(),
            number(team.rate),
            number(team.tokens),
            number(team.concurrency),
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
            flag(call.repeatable),
        ];
        push(Kind::Call, &name, values);
    }
    rows.sort_by(|a, b| (a.kind, &a.name).cmp(&(b.kind, &b.name)));
    rows
}

fn number(value: u32) -> SmolStr {
    format_smolstr!("{value}")
}

fn flag(value: bool) -> SmolStr {
    SmolStr::new_static(if value { "yes" } else { "no" })
}

/// Thousandths as a decimal number without trailing zeros.
fn decimal(per_mille: u32) -> SmolStr {
    let text = format!("{}.{:03}", per_mille / 1_000, per_mille % 1_000);
    SmolStr::from(text.trim_end_matches('0').trim_end_matches('.'))
}
