//! Types that describe the allowed fields and values of a text.

/// The fields of an object.
pub struct Schema {
    pub fields: &'static [Field],
}

/// A field of an object.
pub struct Field {
    pub name: &'static str,
    pub kind: Kind,
    pub presence: Presence,
}

/// Whether a field must be present.
#[derive(Clone, Copy, Debug)]
pub enum Presence {
    /// An omitted field has this value, written as JSON.
    Default(&'static str),
    Optional,
    Required,
}

/// The values that a field accepts.
pub enum Kind {
    /// An address and port to connect to.
    Address,
    Boolean,
    /// One of these strings.
    Choice(&'static [&'static str]),
    /// An unsigned integer.
    Integer {
        min: u64,
        max: u64,
    },
    List {
        of: &'static Kind,
        min: usize,
        max: usize,
    },
    /// An address and port to listen on; port 0 picks a free port.
    Listen,
    Name,
    Number {
        min: f64,
        max: f64,
    },
    Object(&'static Schema),
    /// A path prefix; see `covers`.
    Prefix,
    /// A string of 1 to `max` characters.
    Text {
        max: usize,
    },
    /// A time in milliseconds, which is cut to whole ones.
    Time {
        min_ms: u64,
        max_ms: u64,
    },
}

impl Field {
    /// A field that must be present.
    pub const fn required(name: &'static str, kind: Kind) -> Self {
        Self { name, kind, presence: Presence::Required }
    }

    /// A field with a default, written as JSON.
    pub const fn default(name: &'static str, kind: Kind, default: &'static str) -> Self {
        Self { name, kind, presence: Presence::Default(default) }
    }

    /// A field that may be absent.
    pub const fn optional(name: &'static str, kind: Kind) -> Self {
        Self { name, kind, presence: Presence::Optional }
    }
}

impl Kind {
    /// Describes the accepted values, for messages.
    pub fn describe(&self) -> String {
        match self {
            Self::Address => "an address and port such as `10.0.0.7:8080`".into(),
            Self::Boolean => "`true` or `false`".into(),
            Self::Choice(words) => format!("one of `{}`", words.join("`, `")),
            Self::Integer { min, max } if min == max => format!("`{min}`"),
            Self::Integer { min, max } => format!("a whole number from {min} to {max}"),
            Self::List { min, max, .. } => format!("a list of {min} to {max} items"),
            Self::Listen => "an address and port to listen on such as `0.0.0.0:8080`".into(),
            Self::Name => "a name of 1 to 64 letters, digits, `-`, `_` or `.`".into(),
            Self::Number { min, max } => format!("a number from {min} to {max}"),
            Self::Object(_) => "an object".into(),
            Self::Prefix => "a path prefix of at most 256 characters such as `/tickets`".into(),
            Self::Text { max } => format!("a text of 1 to {max} characters"),
            Self::Time { min_ms, max_ms } => {
                format!("a time from {min_ms} to {max_ms} milliseconds")
            }
        }
    }
}
