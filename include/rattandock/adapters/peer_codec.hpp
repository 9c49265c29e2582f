#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "rattandock/base/result.hpp"
#include "rattandock/core/peer_message.hpp"

namespace rattandock::adapters {

/// Grows with each change of a message's fields; daemons refuse every other version.
inline constexpr std::uint16_t peerProtocolVersion = 2;
/// Bound of one encoded message with its header, and of the list elements in one message.
inline constexpr std::size_t maxPeerMessageBytes = 4U << 20U;
inline constexpr std::size_t maxPeerVmBytes = 64;

/// Why bytes are not a peer message, or a message cannot be sent.
enum class PeerCodecError : std::uint8_t {
    TooShort,
    WrongMagic,
    WrongVersion,
    UnknownType,
    /// More than maxPeerMessageBytes.
    TooLarge,
    /// The header's size is not the size of what follows it.
    WrongSize,
    /// A heartbeat's VM or incarnation is not the header's, or the VM's name is empty or too long.
    WrongOrigin,
    /// A length, an enumerator or an alternative is out of bounds, or the body ends early.
    Malformed,
    TrailingBytes,
};
inline constexpr std::size_t peerCodecErrorCount = 9;

/// The stable name of the error, used in metrics and logs.
std::string_view name(PeerCodecError error);

/// A message with the origin that its header names.
struct PeerEnvelope
{
    VmId sender;
    Incarnation incarnation;
    core::PeerMessage message;
};

template <typename T>
using PeerCodecResult = outcome::result<T, PeerCodecError, outcome::policy::all_narrow>;

/// Shape: magic `RDPM`, version (2 B), type (1 B), size of the VM's name (1 B), size of the body
/// (4 B), incarnation (8 B), all little-endian; the VM's name; the body as a cereal portable binary
/// archive. Errors: TooLarge, WrongOrigin.
PeerCodecResult<std::string> encodePeerMessage(const PeerEnvelope &envelope);

/// Never throws. Allocates at most maxPeerMessageBytes for list elements and as much for texts,
/// whatever lengths the input names.
PeerCodecResult<PeerEnvelope> decodePeerMessage(std::string_view bytes);

} // namespace rattandock::adapters
