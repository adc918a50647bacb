//! Declares sections: struct, defaults, reader and documentation from one list of fields.

use std::{
    net::SocketAddr,
    num::{NonZeroU32, NonZeroU64},
};

use reachhead_types::size::Millis;

use crate::ObjectReader;

/// Returns a default that is not zero.
pub(crate) const fn count(number: u32) -> NonZeroU32 {
    NonZeroU32::new(number).expect("defaults are not zero")
}

/// Returns a default in milliseconds that is not zero.
pub(crate) const fn millis(number: u64) -> NonZeroU64 {
    NonZeroU64::new(number).expect("defaults are not zero")
}

/// A section of a settings file.
pub trait Section: Sized {
    /// Its fields, for documentation.
    const FIELDS: &'static [Field];

    /// Reads the section; `None` means that faults were reported.
    fn read(reader: &mut ObjectReader<'_, '_>) -> Option<Self>;
}

/// One field of a section, as `reachhead check --explain` prints it.
#[derive(Debug, Clone, Copy)]
pub struct Field {
    /// The field's name.
    pub name: &'static str,
    /// What it means.
    pub doc: &'static str,
    /// Its default as Rust writes it; empty where the field is required.
    pub default: &'static str,
    /// The fields of a section; empty for a value.
    pub fields: &'static [Field],
}

/// Declares a [`Section`]: first its values, with a default or required, then its subsections.
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
    /// The ops listener: `/live`, `/ready`, `/metrics`, `/state`.
    OpsSettings {
        /// Address it listens on.
        address: SocketAddr;
    }
}

section! {
    /// How the platform's table service is reached.
    StoreSettings {
        /// Address of the table service.
        address: SocketAddr;
        /// Longest wait for an answer, in milliseconds.
        deadline: Millis = Millis(1000);
        /// Calls a second that this process makes at most.
        rate: NonZeroU32 = count(100);
    }
}

section! {
    /// A graceful shutdown.
    ShutdownSettings {
        /// Milliseconds between "not ready" and closing the listener: the balancer's lag.
        lag: Millis = Millis(2000);
        /// Milliseconds that requests in flight get before the process gives up on them.
        limit: Millis = Millis(30_000);
    }
}
