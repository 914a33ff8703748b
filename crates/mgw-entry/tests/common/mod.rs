//! A node with a small deployment.

use mgw_base::time::Instant;
use mgw_entry::input::{Input, Read, Record as Raw};
use mgw_entry::node::{Node, Options};
use mgw_state::codec;
use mgw_state::record::{Envelope, Member, Record, UniqueId};

/// The node's incarnation.
pub const OWN: u64 = 7;

/// Its address on the peers port.
pub const ADDRESS: &str = "127.0.0.1:7003";

const SHEET: &str = "\
kind,name,zone,domain,accelerator,accelerators,address,fencing,model,version,instances,replicas,priority,value
setting,deployment,,,,,,,,,,,,test
setting,downtime_weight,,,,,,,,,,,,0.5
setting,weight_loads,,,,,,,,,,,,2
instance,m1,a,d,h100,8,127.0.0.1:9001,yes,,,,,,
instance,m2,a,d,h100,8,127.0.0.1:9002,yes,,,,,,
model,draft,,,h100,,,,,1,2,1,0,
";

pub fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// A node that has read a sheet and a group of both instances, which it executes itself.
pub fn node() -> Node {
    let options = Options { peers: ADDRESS.into(), ..Options::new("e1".into(), OWN, "a".into()) };
    let mut node = Node::new(options, 1, at(0));
    let members = ["m1", "m2"].map(|name| Member { instance: name.into(), boot: "b".into() });
    let records = [
        Record::Join {
            entry: "e1".into(),
            incarnation: OWN,
            address: ADDRESS.into(),
            zone: "a".into(),
        },
        Record::Publish { publication: "p".into(), base: 0, sheet: SHEET.into() },
        Record::Lead { term: 1, incarnation: OWN },
        Record::Form {
            term: 1,
            base: 1,
            model: "draft".into(),
            version: "1".into(),
            members: members.to_vec(),
            executor: OWN,
        },
    ];
    node.tick(at(0));
    read(&mut node, 1, 0, records);
    node
}

/// Lets a node read records of its own from `offset` on.
pub fn read<I>(node: &mut Node, now: u64, offset: u64, records: I)
where
    I: IntoIterator<Item = Record>,
{
    let raw = (offset..).zip(records).map(|(offset, record)| {
        let append_id = UniqueId { incarnation: OWN, sequence: offset + 1 };
        let bytes = codec::encode(&Envelope { append_id, record }).expect("a small record");
        Raw { offset, at_ms: 0, bytes }
    });
    let records: Vec<Raw> = raw.collect();
    let next = offset + records.len() as u64;
    node.input(at(now), Input::Read(Read::Batch { first: 0, next, records }));
}
