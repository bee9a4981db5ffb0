//! The named values of a log line: the inputs of a decision, with their age or version.

use log::kv;
use serde_json::{Map, Value};

/// The fields of a line by name.
pub(super) fn of(record: &log::Record<'_>) -> Map<String, Value> {
    let mut fields = Collector(Map::new());
    // The collector itself never fails.
    let _ = record.key_values().visit(&mut fields);
    fields.0
}

struct Collector(Map<String, Value>);

impl<'kvs> kv::VisitSource<'kvs> for Collector {
    fn visit_pair(
        &mut self,
        key: kv::Key<'kvs>,
        value: kv::Value<'kvs>,
    ) -> std::result::Result<(), kv::Error> {
        self.0.insert(key.as_str().to_owned(), to_json(&value));
        Ok(())
    }
}

/// Numbers and truth values as such, anything else as text.
fn to_json(value: &kv::Value<'_>) -> Value {
    let number = value.to_u64().map(Value::from).or_else(|| value.to_i64().map(Value::from));
    let number = number.or_else(|| value.to_f64().map(Value::from));
    let known = number.or_else(|| value.to_bool().map(Value::from));
    known.unwrap_or_else(|| Value::from(value.to_string()))
}
