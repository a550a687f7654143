//! Schema of document format 1.
//!
//! It must not change once a document of this format has been published: entries of different
//! releases would disagree about which documents are valid.

use super::check::schema::{Field, Kind, Schema};

/// Maximum number of targets of one service.
const MAX_SERVICE_TARGETS: usize = 2000;

/// Schema of a document.
pub const DOCUMENT: Schema = Schema {
    fields: &[
        Field::required("format", Kind::Integer { min: 1, max: 1 }),
        Field::required("environment", Kind::Name),
        Field::default("maxEntries", Kind::Integer { min: 1, max: 1000 }, "16"),
        Field::required("workspaces", Kind::List { of: &WORKSPACE, min: 1, max: 10_000 }),
        Field::required("services", Kind::List { of: &SERVICE, min: 1, max: 2000 }),
    ],
};

const WORKSPACE: Kind = Kind::Object(&Schema {
    fields: &[
        Field::required("name", Kind::Name),
        Field::default("weight", Kind::Integer { min: 1, max: 1000 }, "1"),
        Field::default("retryPercent", Kind::Number { min: 0.0, max: 100.0 }, "10.0"),
    ],
});

const SERVICE: Kind = Kind::Object(&Schema {
    fields: &[
        Field::required("name", Kind::Name),
        Field::required("prefix", Kind::Prefix),
        Field::default("policy", Kind::Choice(POLICIES), "\"adaptive\""),
        Field::required("slots", Kind::Integer { min: 1, max: 1024 }),
        Field::default("connections", Kind::Integer { min: 1, max: 65_535 }, "200"),
        Field::default("queue", Kind::Integer { min: 0, max: 100_000 }, "200"),
        Field::default("probePercent", Kind::Number { min: 0.0, max: 10.0 }, "1.0"),
        Field::default("probeCostMs", Kind::Integer { min: 1, max: 10_000 }, "6"),
        Field::required("classes", Kind::List { of: &CLASS, min: 1, max: 64 }),
        Field::required("targets", TARGETS),
    ],
});

const CLASS: Kind = Kind::Object(&Schema {
    fields: &[
        Field::required("name", Kind::Name),
        Field::required("methods", Kind::List { of: &Kind::Choice(METHODS), min: 1, max: 7 }),
        Field::default("prefix", Kind::Prefix, "\"/\""),
        Field::required("deadlineMs", Kind::Integer { min: 1, max: 3_600_000 }),
        Field::required("idempotent", Kind::Boolean),
        Field::default("length", Kind::Choice(&["long", "short"]), "\"short\""),
    ],
});

/// Schema of the targets of a service.
pub const TARGETS: Kind = Kind::List { of: &TARGET, min: 1, max: MAX_SERVICE_TARGETS };

const TARGET: Kind = Kind::Object(&Schema {
    fields: &[Field::required("address", Kind::Address), Field::required("domain", Kind::Name)],
});

const METHODS: &[&str] = &["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];
const POLICIES: &[&str] = &["adaptive", "least_local", "round_robin", "two_choices"];
