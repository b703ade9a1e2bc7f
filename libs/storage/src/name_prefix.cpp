#include "storage/name_prefix.hpp"

namespace zinccleat::storage {
namespace {
class PrefixedFolder final : public FileSystem {
 public:
  PrefixedFolder(std::unique_ptr<FileSystem> folder, std::string prefix)
      : folder_(std::move(folder)), prefix_(std::move(prefix)) {}
  Result<bool> lock(const std::string& name) override { return folder_->lock(prefix_ + name); }
  Result<std::vector<std::string>> list() override {
    auto names = folder_->list();
    if (!names)
      return names;
    std::vector<std::string> own;
    for (const auto& name : *names)
      if (name.starts_with(prefix_))
        own.push_back(name.substr(prefix_.size()));
    return own;
  }
  Result<std::string> read(const std::string& name) override { return folder_->read(prefix_ + name); }
  Result<std::unique_ptr<WritableFile>> create(const std::string& name) override {
    return folder_->create(prefix_ + name);
  }
  Result<void> rename(const std::string& from, const std::string& to) override {
    return folder_->rename(prefix_ + from, prefix_ + to);
  }
  Result<void> remove(const std::string& name) override { return folder_->remove(prefix_ + name); }
  Result<void> syncFolder() override { return folder_->syncFolder(); }

 private:
  std::unique_ptr<FileSystem> folder_;
  std::string prefix_;
};
}  // namespace

std::unique_ptr<FileSystem> withNamePrefix(std::unique_ptr<FileSystem> folder, std::string prefix) {
  return std::make_unique<PrefixedFolder>(std::move(folder), std::move(prefix));
}
}  // namespace zinccleat::storage
