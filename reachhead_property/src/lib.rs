//! Runs quickcheck properties from fixed seeds.
//!
//! quickcheck itself draws a new seed for each run, so the verdict of a test could change between
//! runs. For tests only. Set [`SEED_VARIABLE`] to test other values.

use std::{
    env,
    hash::{Hash, Hasher},
};

use quickcheck::{Gen, QuickCheck, Testable};
use siphasher::sip::SipHasher13;

/// Size parameter of generated values; the default of quickcheck.
const VALUE_SIZE: usize = 100;

/// Environment variable whose number is hashed into every seed, so that other values are tested.
pub const SEED_VARIABLE: &str = "PROPERTY_SEED";

/// Tests a property on `tests` values, generated from a seed derived from `name`.
///
/// # Panics
///
/// If the property does not hold.
pub fn check(name: &str, tests: u64, property: impl Testable) {
    let variation: u64 =
        env::var(SEED_VARIABLE).ok().and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut hasher = SipHasher13::new();
    (name, variation).hash(&mut hasher);
    let generator = Gen::from_size_and_seed(VALUE_SIZE, hasher.finish());
    QuickCheck::new().tests(tests).rng(generator).quickcheck(property);
}

/// Declares properties as tests, with the syntax of the `quickcheck!` macro.
#[macro_export]
macro_rules! properties {
    ($(
        $(#[$meta:meta])*
        fn $name:ident($($arg:ident: $kind:ty),* $(,)?) -> $result:ty { $($code:tt)* }
    )*) => {
        $(
            #[test]
            $(#[$meta])*
            fn $name() {
                fn property($($arg: $kind),*) -> $result { $($code)* }
                $crate::check(stringify!($name), 100, property as fn($($kind),*) -> $result);
            }
        )*
    };
}
