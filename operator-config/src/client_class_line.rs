//! Parser of a client class: `admit NAME`, followed by pairs of a property and its value.

use crate::error::{Problem, ValueError};
use crate::values::{number, unreadable_item};
use admission::{ClientClass, ConnectionRate};
use ipnet::IpNet;
use std::net::IpAddr;
use std::sync::Arc;

/// Upper bound of numbers of connections and requests, and of rates per second.
const MAX_NUMBER: usize = 100_000;
const MAX_WEIGHT: u32 = 1_000;
/// Longest user name; the same limit as in PostgreSQL.
const MAX_USER_BYTES: usize = 63;
/// Longest name of a class.
const MAX_NAME_BYTES: usize = 32;

/// A property of a class and the function that parses and sets its value.
struct Property {
    name: &'static str,
    set: fn(&mut ClientClass, &str) -> Result<(), ValueError>,
}

const fn property(name: &'static str, set: fn(&mut ClientClass, &str) -> Result<(), ValueError>) -> Property {
    Property { name, set }
}

const PROPERTIES: &[Property] = &[
    property("from", |class, value| {
        class.networks = value.split(',').map(network).collect::<Result<_, _>>()?;
        Ok(())
    }),
    property("user", |class, value| {
        class.users = value.split(',').map(user).collect::<Result<_, _>>()?;
        Ok(())
    }),
    property("keep", |class, value| {
        class.reserved = number(value, 0..=MAX_NUMBER)?;
        Ok(())
    }),
    property("most", |class, value| {
        class.max_connections = Some(number(value, 1..=MAX_NUMBER)?);
        Ok(())
    }),
    property("each", |class, value| {
        class.max_per_address = Some(number(value, 1..=MAX_NUMBER)?);
        Ok(())
    }),
    property("rate", |class, value| {
        let per_second = number(value, 1..=MAX_NUMBER)? as u32;
        let burst = class.rate.map_or(per_second, |rate| rate.burst);
        class.rate = Some(ConnectionRate { per_second, burst });
        Ok(())
    }),
    property("burst", |class, value| {
        let burst = number(value, 1..=MAX_NUMBER)? as u32;
        class.rate.as_mut().ok_or(ValueError::BurstWithoutRate)?.burst = burst;
        Ok(())
    }),
    property("weight", |class, value| {
        let weight = number(value, 1..=MAX_NUMBER)? as u32;
        if weight > MAX_WEIGHT {
            return Err(ValueError::WeightTooLarge);
        }
        class.weight = weight;
        Ok(())
    }),
    property("rpcs", |class, value| {
        class.max_requests = Some(number(value, 1..=MAX_NUMBER)?);
        Ok(())
    }),
];

/// Parses a network or a single address.
fn network(value: &str) -> Result<IpNet, ValueError> {
    let network = value.parse().or_else(|_| value.parse::<IpAddr>().map(IpNet::from));
    network.map_err(|error| unreadable_item(value, error))
}

/// Parses a user name.
fn user(value: &str) -> Result<Arc<str>, ValueError> {
    let is_valid = (1..=MAX_USER_BYTES).contains(&value.len()) && !value.contains(char::is_control);
    is_valid.then(|| value.into()).ok_or_else(|| ValueError::BadUser(value.to_string()))
}

fn is_class_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_allowed)
}

/// Parses the values after the keyword.
pub fn parse_class(values: &[String]) -> Result<ClientClass, Problem> {
    let (name, pairs) = values.split_first().ok_or(Problem::NoClassName)?;
    if !is_class_name(name) {
        return Err(Problem::BadClassName(name.clone()));
    }
    let mut class = ClientClass::named(name);
    let mut seen = Vec::new();
    for pair in pairs.chunks(2) {
        let [name, value] = pair else { return Err(Problem::MissingValue(pair[0].clone())) };
        let property = find_property(name)?;
        if seen.contains(&property.name) {
            return Err(Problem::RepeatedProperty(property.name));
        }
        seen.push(property.name);
        let set = (property.set)(&mut class, value);
        set.map_err(|error| Problem::Property { property: property.name, error })?;
    }
    Ok(class)
}

fn find_property(name: &str) -> Result<&'static Property, Problem> {
    PROPERTIES.iter().find(|property| property.name == name).ok_or_else(|| {
        let known: Vec<&str> = PROPERTIES.iter().map(|property| property.name).collect();
        Problem::UnknownProperty { name: name.to_string(), known: known.join(", ") }
    })
}
