#pragma once

#include <string>
#include <string_view>

#include "rattandock/base/result.hpp"
#include "rattandock/fleet/fleet_config.hpp"

namespace rattandock::app {

/// Writes the answer to `GET /v1/configuration`, in the product's names, queue by queue, so that
/// the writer can be suspended between them. Thread safety: none.
class ConfigurationWriter
{
public:
    explicit ConfigurationWriter(ConfigurationVersion version);

    void add(const fleet::QueueSpec &queue);
    /// The whole text. Precondition: nothing is called after it.
    std::string finish();

private:
    std::string m_text;
    bool m_isFirst = true;
};

/// Reads what `ConfigurationWriter` writes. Errors: each fault with its place.
/// Thread safety: may be called from any thread.
Checked<fleet::FleetConfig> parseConfiguration(std::string_view text);

} // namespace rattandock::app
