//! Declaration of settings sections: struct, defaults, reader and documentation from one list of fields.

use std::{
    net::SocketAddr,
    num::{NonZeroU32, NonZeroU64},
};

use reachhead_types::size::Millis;

use crate::ObjectReader;

/// Returns `number` as the default of a setting that must not be zero.
pub(crate) const fn nonzero(number: u32) -> NonZeroU32 {
    NonZeroU32::new(number).expect("defaults are not zero")
}

/// Returns `number` as the default of a setting in milliseconds that must not be zero.
pub(crate) const fn nonzero_millis(number: u64) -> NonZeroU64 {
    NonZeroU64::new(number).expect("defaults are not zero")
}

/// A section of a settings file.
pub trait Section: Sized {
    /// Fields of the section, for documentation.
    const FIELDS: &'static [Field];

    /// Reads the section; `None` means that errors were reported to `reader`.
    fn read(reader: &mut ObjectReader<'_, '_>) -> Option<Self>;
}

/// Documentation of a field, printed by `reachhead check --explain`.
#[derive(Debug, Clone, Copy)]
pub struct Field {
    /// The field's name.
    pub name: &'static str,
    /// The field's doc comment.
    pub doc: &'static str,
    /// The default as a Rust expression; empty if the field is required.
    pub default: &'static str,
    /// The fields of a subsection; empty for a value.
    pub fields: &'static [Field],
}

/// Declares a [`Section`]: first its values, each with a default or required, then its subsections.
macro_rules! section {
    (
        $(#[doc = $doc:literal])* $name:ident {
            $($(#[doc = $field_doc:literal])* $field:ident: $kind:ty $(= $default:expr)?;)*
        }
        $(sections {
            $($(#[doc = $sub_doc:literal])* $sub:ident: $sub_kind:ty;)*
        })?
    ) => {
        $(#[doc = $doc])*
        #[derive(Debug, Clone)]
        pub struct $name {
            $($(#[doc = $field_doc])* pub $field: $kind,)*
            $($($(#[doc = $sub_doc])* pub $sub: $sub_kind,)*)?
        }

        impl $crate::Section for $name {
            const FIELDS: &'static [$crate::section::Field] = &[
                $($crate::section::Field {
                    name: stringify!($field),
                    doc: concat!($($field_doc),*),
                    default: concat!($(stringify!($default))?),
                    fields: &[],
                },)*
                $($($crate::section::Field {
                    name: stringify!($sub),
                    doc: concat!($($sub_doc),*),
                    default: "",
                    fields: <$sub_kind as $crate::Section>::FIELDS,
                },)*)?
            ];

            fn read(reader: &mut $crate::ObjectReader<'_, '_>) -> Option<Self> {
                $(let $field = reader.field::<$kind>(
                    stringify!($field),
                    $crate::section::default_of!($($default)?),
                );)*
                $($(let $sub = reader.section::<$sub_kind>(stringify!($sub));)*)?
                reader.finish();
                Some(Self { $($field: $field?,)* $($($sub: $sub?,)*)? })
            }
        }
    };
}

/// Expands to `Some(default)`, or to `None` for a required field.
macro_rules! default_of {
    () => {
        None
    };
    ($default:expr) => {
        Some($default)
    };
}

pub(crate) use default_of;
pub(crate) use section;

section! {
    /// HTTP listener for operators: `/live`, `/ready`, `/metrics`, `/state`.
    OpsSettings {
        /// Address to listen on.
        address: SocketAddr;
    }
}

section! {
    /// Connection to the platform's table service.
    StoreSettings {
        /// Address of the table service.
        address: SocketAddr;
        /// Timeout of a call, in milliseconds.
        deadline: Millis = Millis(1000);
        /// Maximum number of calls per second by this process.
        rate: NonZeroU32 = nonzero(100);
    }
}

section! {
    /// Graceful shutdown.
    ShutdownSettings {
        /// Milliseconds between reporting "not ready" and closing the listener: the load balancer's reaction time.
        lag: Millis = Millis(2000);
        /// Milliseconds that requests in flight may take to complete before the process aborts them.
        limit: Millis = Millis(30_000);
    }
}
