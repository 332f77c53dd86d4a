// Smart pointers for GLib's reference-counted objects and allocated memory.
#ifndef SRC_BASE_GLIB_PTR_H_
#define SRC_BASE_GLIB_PTR_H_

#include <gio/gio.h>

#include <memory>
#include <utility>

namespace gentianreach {

// Owns one reference to a GObject. Each copy owns a reference of its own.
template <typename T>
class GObjectPtr {
 public:
  GObjectPtr() = default;
  // Takes ownership of the reference of the caller.
  static GObjectPtr Adopt(T* object) {
    GObjectPtr ptr;
    ptr.object_ = object;
    return ptr;
  }
  // Adds a reference.
  static GObjectPtr Share(T* object) {
    if (object != nullptr) {
      g_object_ref(object);
    }
    return Adopt(object);
  }
  GObjectPtr(const GObjectPtr& other) : GObjectPtr(Share(other.object_)) {}
  GObjectPtr(GObjectPtr&& other) noexcept
      : object_(std::exchange(other.object_, nullptr)) {}
  GObjectPtr& operator=(GObjectPtr other) noexcept {
    std::swap(object_, other.object_);
    return *this;
  }
  ~GObjectPtr() { g_clear_object(&object_); }

  [[nodiscard]] T* get() const { return object_; }
  explicit operator bool() const { return object_ != nullptr; }

 private:
  T* object_ = nullptr;
};

namespace internal {

struct GErrorDeleter {
  void operator()(GError* error) const { g_error_free(error); }
};
struct GBytesDeleter {
  void operator()(GBytes* bytes) const { g_bytes_unref(bytes); }
};
struct GUriDeleter {
  void operator()(GUri* uri) const { g_uri_unref(uri); }
};
struct GMainLoopDeleter {
  void operator()(GMainLoop* loop) const { g_main_loop_unref(loop); }
};

}  // namespace internal

using GErrorPtr = std::unique_ptr<GError, internal::GErrorDeleter>;
using GBytesPtr = std::unique_ptr<GBytes, internal::GBytesDeleter>;
using GUriPtr = std::unique_ptr<GUri, internal::GUriDeleter>;
using GMainLoopPtr = std::unique_ptr<GMainLoop, internal::GMainLoopDeleter>;

}  // namespace gentianreach

#endif  // SRC_BASE_GLIB_PTR_H_
