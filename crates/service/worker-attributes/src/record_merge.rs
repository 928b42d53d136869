//! How the statements about a host, and several lines about one host, become one record.
use crate::host_record::{Attribute, AttributeValue, HostRecord};
use crate::parse_value::ParsedValue;
use crate::raw_inventory::Statement;
use std::sync::Arc;

/// Adds a validated statement to a host's record.
pub(crate) fn add_statement(record: &mut HostRecord, value: ParsedValue, statement: &Statement) {
    let location = statement.location;
    match (value, statement.attribute) {
        (ParsedValue::Word(w), Attribute::Zone) => drop(record.zone.add(w, location)),
        (ParsedValue::Word(w), Attribute::Pod) => drop(record.pod.add(w, location)),
        (ParsedValue::Word(w), _) => drop(record.kind.add(w, location)),
        (ParsedValue::Weight(n), _) => drop(record.weight.add(n, location)),
        (ParsedValue::Slots(n), _) => drop(record.slots.add(n, location)),
        // Labels from several columns or keys are parts of one whole.
        (ParsedValue::Labels(new), _) => match &mut record.labels {
            AttributeValue::Known(old, _) if new.iter().all(|(k, v)| old.get(k).is_none_or(|o| o == v)) => {
                Arc::make_mut(old).extend(new.iter().map(|(k, v)| (k.clone(), v.clone())));
            }
            stated => drop(stated.add(new, location)),
        },
    }
}

/// Makes an attribute of a record unknown.
pub(crate) fn clear_attribute(record: &mut HostRecord, attribute: Attribute) {
    match attribute {
        Attribute::Zone => record.zone = AttributeValue::Missing,
        Attribute::Pod => record.pod = AttributeValue::Missing,
        Attribute::Kind => record.kind = AttributeValue::Missing,
        Attribute::Weight => record.weight = AttributeValue::Missing,
        Attribute::Slots => record.slots = AttributeValue::Missing,
        Attribute::Labels => record.labels = AttributeValue::Missing,
    }
}

/// Merges the record of a host's second line into that of the first. Returns the attributes that
/// conflict.
pub(crate) fn merge_records(known: &mut HostRecord, second: &HostRecord) -> Vec<Attribute> {
    fn merge_value<T: Clone + PartialEq>(known: &mut AttributeValue<T>, second: &AttributeValue<T>) -> bool {
        match second {
            AttributeValue::Missing => false,
            AttributeValue::Known(value, location) => known.add(value.clone(), *location),
            AttributeValue::Conflicting(all) => {
                all.iter().filter(|(v, location)| known.add(v.clone(), *location)).count() > 0
            }
        }
    }
    let mut conflicting = Vec::new();
    let mut note = |attribute, conflicts: bool| conflicting.extend(conflicts.then_some(attribute));
    note(Attribute::Zone, merge_value(&mut known.zone, &second.zone));
    note(Attribute::Pod, merge_value(&mut known.pod, &second.pod));
    note(Attribute::Kind, merge_value(&mut known.kind, &second.kind));
    note(Attribute::Weight, merge_value(&mut known.weight, &second.weight));
    note(Attribute::Slots, merge_value(&mut known.slots, &second.slots));
    note(Attribute::Labels, merge_value(&mut known.labels, &second.labels));
    conflicting
}
