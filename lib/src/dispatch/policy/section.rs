//! The types that a policy field may have, each with its reader from JSON and its text for the reference
//! page, and the macro that declares a section of such fields. A value out of range adds a finding and leaves
//! the default.

use std::ops::RangeInclusive;
use std::time::Duration;

use crate::findings::Fields;
use crate::findings::Findings;

/// The documentation of one policy field, for the reference page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldDoc {
    /// The section and the field, separated by a dot.
    pub name: String,
    /// The default value.
    pub default: String,
    /// The values that are allowed.
    pub range: String,
    /// What the field does.
    pub meaning: String,
}

/// A type of policy field: how it is read from JSON and shown on the reference page.
pub(super) trait FieldType: Copy {
    /// The values that are allowed.
    type Range;
    /// Reads the field. Returns the default if it is missing, and also adds a finding if it is invalid.
    fn read(
        fields: &mut Fields<'_>,
        name: &'static str,
        default: Self,
        range: Self::Range,
        findings: &mut Findings,
    ) -> Self;
    /// Returns the default and the range as text.
    fn describe(self, range: Self::Range) -> (String, String);
}

impl FieldType for Duration {
    type Range = RangeInclusive<u64>;

    fn read(
        fields: &mut Fields<'_>,
        name: &'static str,
        default: Duration,
        range: RangeInclusive<u64>,
        findings: &mut Findings,
    ) -> Duration {
        let default = crate::clock::millis(default);
        Duration::from_millis(fields.number(name, default, range, findings))
    }

    fn describe(self, range: RangeInclusive<u64>) -> (String, String) {
        let default = crate::clock::millis(self).to_string();
        (default, format!("{} to {}", range.start(), range.end()))
    }
}

impl FieldType for u32 {
    type Range = RangeInclusive<u64>;

    fn read(
        fields: &mut Fields<'_>,
        name: &'static str,
        default: u32,
        range: RangeInclusive<u64>,
        findings: &mut Findings,
    ) -> u32 {
        let number = fields.number(name, u64::from(default), range, findings);
        u32::try_from(number).unwrap_or(u32::MAX)
    }

    fn describe(self, range: RangeInclusive<u64>) -> (String, String) {
        let default = self.to_string();
        (default, format!("{} to {}", range.start(), range.end()))
    }
}

impl FieldType for f64 {
    type Range = RangeInclusive<f64>;

    fn read(
        fields: &mut Fields<'_>,
        name: &'static str,
        default: f64,
        range: RangeInclusive<f64>,
        findings: &mut Findings,
    ) -> f64 {
        fields.ratio(name, default, range, findings)
    }

    fn describe(self, range: RangeInclusive<f64>) -> (String, String) {
        let default = self.to_string();
        (default, format!("{} to {}", range.start(), range.end()))
    }
}

impl FieldType for bool {
    type Range = ();

    fn read(
        fields: &mut Fields<'_>,
        name: &'static str,
        default: bool,
        (): (),
        findings: &mut Findings,
    ) -> bool {
        fields.switch(name, default, findings)
    }

    fn describe(self, (): ()) -> (String, String) {
        (self.to_string(), "`true`, `false`".to_owned())
    }
}

/// Declares a section: a struct whose fields each have a kind, a default and a range. A field has the same
/// name in JSON, with the suffix `_ms` if it is a time in milliseconds.
macro_rules! section {
    (
        $(#[doc = $about:literal])*
        $section:ident ($key:literal) {
            $( $(#[doc = $doc:literal])* $field:ident: $kind:ident = $default:expr, $range:expr; )*
        }
    ) => {
        $(#[doc = $about])*
        #[derive(Clone, Copy, Debug, PartialEq)]
        pub struct $section {
            $( $(#[doc = $doc])* pub $field: section!(@type $kind), )*
        }

        impl Default for $section {
            fn default() -> $section {
                $section { $( $field: section!(@value $kind $default), )* }
            }
        }

        impl $section {
            pub(super) fn read(value: &Value, findings: &mut Findings) -> $section {
                let default = $section::default();
                let Some(mut fields) = Fields::new(value, concat!("/", $key), findings) else {
                    return default;
                };
                let section = $section {
                    $(
                        $field: FieldType::read(
                            &mut fields,
                            section!(@key $kind $field),
                            default.$field,
                            $range,
                            findings,
                        ),
                    )*
                };
                fields.finish(findings);
                section
            }

            pub(super) fn field_docs() -> Vec<FieldDoc> {
                let section = $section::default();
                let mut field_docs = Vec::new();
                $(
                    let (default, range) = section.$field.describe($range);
                    field_docs.push(FieldDoc {
                        name: concat!($key, ".", section!(@key $kind $field)).to_owned(),
                        default,
                        range,
                        meaning: concat!($($doc),*).trim().to_owned(),
                    });
                )*
                field_docs
            }
        }
    };
    (@type ms) => { Duration };
    (@type ratio) => { f64 };
    (@type count) => { u32 };
    (@type switch) => { bool };
    (@value ms $default:expr) => { Duration::from_millis($default) };
    (@value $kind:ident $default:expr) => { $default };
    (@key ms $field:ident) => { concat!(stringify!($field), "_ms") };
    (@key $kind:ident $field:ident) => { stringify!($field) };
}

pub(super) use section;
