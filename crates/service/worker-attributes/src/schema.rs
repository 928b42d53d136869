//! The JSON Schema of a host's facts, made from the type below, and the check by it (JSON Schema,
//! draft 2020-12).
use crate::host_record::Labels;
use jsonschema::Validator;
use schemars::{JsonSchema, schema_for};
use serde_json::{Map, Value};
use xxhash_rust::xxh3::xxh3_64;

/// The facts of one host, as an inventory states them. What is not stated is unknown.
#[derive(JsonSchema)]
#[schemars(title = "HostFacts", deny_unknown_fields)]
#[allow(dead_code, reason = "the schema is made from it")]
struct HostFacts {
    /// The host's name, compared as DNS does.
    #[schemars(length(min = 1, max = 254))]
    host: String,
    /// The data centre; one that the deployment's settings name.
    #[schemars(length(min = 1, max = 64))]
    zone: Option<String>,
    /// The pod, the group of workers that drop each other's repeats: a number as in the live list,
    /// or a name.
    #[schemars(regex(pattern = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"))]
    pod: Option<String>,
    /// The kind of machine; one that the deployment's settings name.
    #[schemars(length(min = 1, max = 64))]
    kind: Option<String>,
    /// Its capacity relative to the others'.
    #[schemars(range(min = 0.001, max = 1000.0))]
    weight: Option<f64>,
    /// Jobs that it runs at a time.
    #[schemars(range(min = 1, max = 4096))]
    slots: Option<u32>,
    /// Whatever else is noted of it: at most 64.
    #[schemars(extend("maxProperties" = 64))]
    labels: Option<Labels>,
}

/// The zones and kinds that there are; `None` where that is not known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Vocabulary {
    /// The zones.
    pub zones: Option<Vec<String>>,
    /// The kinds of machine.
    pub kinds: Option<Vec<String>>,
}

/// The schema as a document.
pub fn schema_document(vocabulary: &Vocabulary) -> Value {
    let mut schema = schema_for!(HostFacts).to_value();
    // What is not stated is left out, not null: that no message should speak of null.
    for property in schema["properties"].as_object_mut().into_iter().flat_map(|p| p.values_mut()) {
        if let Some(kind) =
            property["type"].as_array().and_then(|t| t.iter().find(|t| **t != "null")).cloned()
        {
            property["type"] = kind;
        }
    }
    for (key, words) in [("zone", &vocabulary.zones), ("kind", &vocabulary.kinds)] {
        if let (Some(words), Some(property)) = (words, schema["properties"][key].as_object_mut()) {
            property.insert("enum".into(), words.clone().into());
        }
    }
    schema
}

/// The schema could not be built, which would be a fault of this module.
#[derive(Debug, thiserror::Error)]
#[error("the schema of a host's facts is faulty: {0}")]
pub struct SchemaError(Box<jsonschema::ValidationError<'static>>);

/// The schema, ready to check with.
pub struct Schema {
    validator: Validator,
    fingerprint: u64,
}

impl Schema {
    /// The schema for these zones and kinds.
    ///
    /// # Errors
    /// If it could not be made, which would be a fault of this module.
    pub fn new(vocabulary: &Vocabulary) -> Result<Self, SchemaError> {
        let validator = jsonschema::validator_for(&schema_document(vocabulary));
        let fingerprint = xxh3_64(schema_document(vocabulary).to_string().as_bytes());
        let schema = validator.map(|validator| Schema { validator, fingerprint });
        schema.map_err(|error| SchemaError(Box::new(error)))
    }

    /// The same for schemas that judge alike: with it and a file's bytes what comes of them is
    /// settled.
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// What is wrong with a host's facts: the key and why.
    pub(crate) fn faults(&self, attributes: Map<String, Value>) -> Vec<(String, String)> {
        let value = Value::Object(attributes);
        if self.validator.is_valid(&value) {
            return Vec::new();
        }
        let fault = |e: jsonschema::ValidationError<'_>| {
            let path = e.instance_path().to_string();
            let key = path.trim_start_matches('/').split('/').next().unwrap_or("").to_owned();
            (key, e.to_string())
        };
        self.validator.iter_errors(&value).map(fault).collect()
    }
}
