#ifndef EGRETLATCH_MANIFEST_FWD_HPP
#define EGRETLATCH_MANIFEST_FWD_HPP

namespace egretlatch::manifest
{

struct AccountSpec;
struct InnerCall;
struct KindSpec;
struct ServiceSpec;

class Manifest;
class ManifestBuilder;

} // namespace egretlatch::manifest

#endif
