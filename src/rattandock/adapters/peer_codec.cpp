#include "rattandock/adapters/peer_codec.hpp"

#include <array>
#include <cereal/archives/portable_binary.hpp>
#include <exception>
#include <limits>
#include <optional>
#include <sstream>
#include <streambuf>
#include <utility>

#include "detail/peer_fields.hpp"

namespace rattandock::adapters {

namespace {

constexpr std::string_view magic = "RDPM";
constexpr std::size_t fixedHeaderBytes = 20;
constexpr std::size_t messageTypeCount = std::variant_size_v<core::PeerMessage>;

/// Leaves a nested read or write; never leaves this file.
struct CodecFailure final : std::exception
{
    explicit CodecFailure(PeerCodecError why)
        : error(why)
    {
    }

    PeerCodecError error;
};

/// Memory that the lists of one message may take.
class ElementBudget
{
public:
    void take(std::uint64_t count, std::size_t elementBytes, PeerCodecError error)
    {
        if (count > m_left / elementBytes) {
            throw CodecFailure{error};
        }
        m_left -= count * elementBytes;
    }

private:
    std::uint64_t m_left = maxPeerMessageBytes;
};

class Writer
{
public:
    explicit Writer(std::ostream &out)
        : m_archive(out)
    {
    }

    void put(bool value) { m_archive(static_cast<std::uint8_t>(value)); }
    void put(Duration value) { m_archive(std::int64_t{value.count()}); }
    void put(TimePoint value) { put(value.time_since_epoch()); }

    void put(const std::string &value)
    {
        m_archive(std::uint64_t{value.size()});
        m_archive(cereal::binary_data(value.data(), value.size()));
    }

    template <std::integral T>
    void put(T value)
    {
        m_archive(value);
    }

    template <typename T>
    requires std::is_enum_v<T>
    void put(T value) { m_archive(static_cast<std::uint8_t>(value)); }

    template <typename Tag, typename Rep>
    void put(const StrongValue<Tag, Rep> &value)
    {
        put(value.value());
    }

    template <typename T>
    void put(const std::optional<T> &value)
    {
        put(value.has_value());
        if (value) {
            put(*value);
        }
    }

    template <typename T>
    void put(const std::vector<T> &list)
    {
        m_budget.take(list.size(), sizeof(T), PeerCodecError::TooLarge);
        m_archive(std::uint64_t{list.size()});
        for (const T &it : list) {
            put(it);
        }
    }

    void put(const core::JobOutcome &outcome)
    {
        m_archive(static_cast<std::uint8_t>(outcome.index()));
        std::visit([this](const auto &it) { put(it); }, outcome);
    }

    template <typename T>
    requires requires(const T &it) { detail::fields(it); }
    void put(const T &value)
    {
        std::apply([this](const auto &...it) { (put(it), ...); }, detail::fields(value));
    }

private:
    cereal::PortableBinaryOutputArchive m_archive;
    ElementBudget m_budget;
};

/// Reads a view without a copy.
class ViewBuffer final : public std::streambuf
{
public:
    explicit ViewBuffer(std::string_view bytes)
    {
        // The get area is never written to; std::streambuf has no const form.
        char *const begin = const_cast<char *>(bytes.data());
        setg(begin, begin, begin + bytes.size());
    }

    std::size_t left() const { return static_cast<std::size_t>(egptr() - gptr()); }
};

class Reader
{
public:
    explicit Reader(std::string_view bytes)
        : m_buf(bytes)
        , m_in(&m_buf)
        , m_archive(m_in)
    {
    }

    std::size_t left() const { return m_buf.left(); }

    void get(bool &value) { value = index(2) == 1; }

    void get(Duration &value)
    {
        std::int64_t count = 0;
        m_archive(count);
        value = Duration{count};
    }

    void get(TimePoint &value)
    {
        Duration sinceEpoch{};
        get(sinceEpoch);
        value = TimePoint{sinceEpoch};
    }

    void get(std::string &value)
    {
        std::uint64_t size = 0;
        m_archive(size);
        if (size > left()) {
            throw CodecFailure{PeerCodecError::Malformed};
        }
        value.resize(size);
        m_archive(cereal::binary_data(value.data(), value.size()));
    }

    template <std::integral T>
    void get(T &value)
    {
        m_archive(value);
    }

    template <typename T>
    requires std::is_enum_v<T>
    void get(T &value) { value = static_cast<T>(index(detail::enumeratorCount<T>)); }

    template <typename Tag, typename Rep>
    void get(StrongValue<Tag, Rep> &value)
    {
        Rep rep{};
        get(rep);
        value = StrongValue<Tag, Rep>{std::move(rep)};
    }

    template <typename T>
    void get(std::optional<T> &value)
    {
        bool present = false;
        get(present);
        if (present) {
            get(value.emplace());
        }
    }

    template <typename T>
    void get(std::vector<T> &list)
    {
        std::uint64_t count = 0;
        m_archive(count);
        // Each element takes at least one byte of the input.
        if (count > left()) {
            throw CodecFailure{PeerCodecError::Malformed};
        }
        m_budget.take(count, sizeof(T), PeerCodecError::Malformed);
        list.resize(count);
        for (T &it : list) {
            get(it);
        }
    }

    void get(core::JobOutcome &outcome)
    {
        getAlternative(outcome, index(std::variant_size_v<core::JobOutcome>));
    }

    template <typename T>
    requires requires(T &it) { detail::fields(it); }
    void get(T &value)
    {
        std::apply([this](auto &...it) { (get(it), ...); }, detail::fields(value));
    }

    /// Precondition: which is below the number of alternatives.
    template <typename Variant>
    void getAlternative(Variant &into, std::size_t which)
    {
        [&]<std::size_t... n>(std::index_sequence<n...>)
        {
            ((which == n ? get(into.template emplace<n>()) : void()), ...);
        }
        (std::make_index_sequence<std::variant_size_v<Variant>>{});
    }

private:
    std::size_t index(std::size_t count)
    {
        std::uint8_t read = 0;
        m_archive(read);
        if (read >= count) {
            throw CodecFailure{PeerCodecError::Malformed};
        }
        return read;
    }

    ViewBuffer m_buf;
    std::istream m_in;
    cereal::PortableBinaryInputArchive m_archive;
    ElementBudget m_budget;
};

void putInteger(std::string &into, std::uint64_t value, std::size_t bytes)
{
    for (std::size_t n = 0; n < bytes; ++n) {
        into += static_cast<char>(value >> (8 * n));
    }
}

std::uint64_t integerAt(std::string_view bytes, std::size_t at, std::size_t size)
{
    std::uint64_t value = 0;
    for (std::size_t n = 0; n < size; ++n) {
        value |= std::uint64_t{static_cast<unsigned char>(bytes[at + n])} << (8 * n);
    }
    return value;
}

bool hasRightOrigin(const PeerEnvelope &envelope)
{
    const auto *const heartbeat = std::get_if<core::Heartbeat>(&envelope.message);
    return heartbeat == nullptr
           || (heartbeat->vm == envelope.sender && heartbeat->incarnation == envelope.incarnation);
}

std::string encodedBody(const core::PeerMessage &message)
{
    std::ostringstream out;
    Writer writer{out};
    std::visit([&writer](const auto &it) { writer.put(it); }, message);
    return std::move(out).str();
}

} // namespace

std::string_view name(PeerCodecError error)
{
    static constexpr std::array<std::string_view, peerCodecErrorCount> names{
            "too-short",  "wrong-magic",  "wrong-version", "unknown-type",  "too-large",
            "wrong-size", "wrong-origin", "malformed",     "trailing-bytes"};
    return names.at(static_cast<std::size_t>(error));
}

PeerCodecResult<std::string> encodePeerMessage(const PeerEnvelope &envelope)
{
    const std::string &vm = envelope.sender.value();
    if (vm.empty() || vm.size() > maxPeerVmBytes || !hasRightOrigin(envelope)) {
        return PeerCodecError::WrongOrigin;
    }
    try {
        const std::string body = encodedBody(envelope.message);
        if (fixedHeaderBytes + vm.size() + body.size() > maxPeerMessageBytes) {
            return PeerCodecError::TooLarge;
        }
        std::string bytes;
        bytes.reserve(fixedHeaderBytes + vm.size() + body.size());
        bytes += magic;
        putInteger(bytes, peerProtocolVersion, 2);
        putInteger(bytes, envelope.message.index() + 1, 1);
        putInteger(bytes, vm.size(), 1);
        putInteger(bytes, body.size(), 4);
        putInteger(bytes, envelope.incarnation.value(), 8);
        bytes += vm;
        return bytes += body;
    } catch (const CodecFailure &failure) {
        return failure.error;
    }
}

PeerCodecResult<PeerEnvelope> decodePeerMessage(std::string_view bytes)
{
    if (bytes.size() > maxPeerMessageBytes) {
        return PeerCodecError::TooLarge;
    }
    if (bytes.size() < fixedHeaderBytes) {
        return PeerCodecError::TooShort;
    }
    if (!bytes.starts_with(magic)) {
        return PeerCodecError::WrongMagic;
    }
    if (integerAt(bytes, 4, 2) != peerProtocolVersion) {
        return PeerCodecError::WrongVersion;
    }
    const std::uint64_t type = integerAt(bytes, 6, 1);
    if (type == 0 || type > messageTypeCount) {
        return PeerCodecError::UnknownType;
    }
    const std::size_t vmBytes = integerAt(bytes, 7, 1);
    if (vmBytes == 0 || vmBytes > maxPeerVmBytes) {
        return PeerCodecError::WrongOrigin;
    }
    if (fixedHeaderBytes + vmBytes + integerAt(bytes, 8, 4) != bytes.size()) {
        return PeerCodecError::WrongSize;
    }
    PeerEnvelope envelope;
    envelope.incarnation = Incarnation{integerAt(bytes, 12, 8)};
    envelope.sender = VmId{std::string{bytes.substr(fixedHeaderBytes, vmBytes)}};
    try {
        Reader reader{bytes.substr(fixedHeaderBytes + vmBytes)};
        reader.getAlternative(envelope.message, type - 1);
        if (reader.left() > 0) {
            return PeerCodecError::TrailingBytes;
        }
    } catch (const CodecFailure &failure) {
        return failure.error;
    } catch (const std::exception &) {
        // cereal throws when the body ends early.
        return PeerCodecError::Malformed;
    }
    if (!hasRightOrigin(envelope)) {
        return PeerCodecError::WrongOrigin;
    }
    return envelope;
}

} // namespace rattandock::adapters
