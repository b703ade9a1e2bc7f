#include "operations/runbook.hpp"

#include <sstream>

#include "config/settings.hpp"

namespace zinccleat::operations {
namespace {
std::string trimmed(std::string s) {
  while (!s.empty() && (s.back() == ' ' || s.back() == '\r' || s.back() == '\t'))
    s.pop_back();
  const auto at = s.find_first_not_of(" \t");
  return at == std::string::npos ? "" : s.substr(at);
}
tl::unexpected<Error> at(int line, const std::string& what) {
  return makeError(ErrorCode::unavailable, "line " + std::to_string(line) + ": " + what);
}
// Braces of JSON bodies stay: only {name} with a plain word in it is a parameter.
Result<std::string> fill(const std::string& s, const std::map<std::string, std::string>& given, int line) {
  std::string out;
  for (std::size_t i = 0; i < s.size(); ++i) {
    const auto end = s[i] == '{' ? s.find('}', i) : std::string::npos;
    const auto name = end == std::string::npos ? std::string{} : s.substr(i + 1, end - i - 1);
    if (name.empty() || name.find_first_not_of("abcdefghijklmnopqrstuvwxyz-") != std::string::npos) {
      out += s[i];
      continue;
    }
    const auto v = given.find(name);
    if (v == given.end())
      return at(line, "no value for '" + name + "': say --set " + name + "=...");
    out += v->second;
    i = end;
  }
  return out;
}
}  // namespace

Result<Runbook> parseRunbook(const std::string& text, const std::map<std::string, std::string>& given) {
  Runbook b;
  std::istringstream in(text);
  std::string raw;
  int line = 0;
  auto values = given;
  bool called = false;
  while (std::getline(in, raw)) {
    ++line;
    raw = trimmed(raw);
    if (raw.empty() || raw[0] == '#')
      continue;
    const auto sp = raw.find(' ');
    const auto word = raw.substr(0, sp);
    auto rest = sp == std::string::npos ? "" : trimmed(raw.substr(sp));
    if (word == "title") {
      b.title = rest;
      continue;
    }
    if (word == "param") {
      const auto e = rest.find(' ');
      auto name = rest.substr(0, e);
      // A default stands behind '='.
      if (const auto eq = name.find('='); eq != std::string::npos) {
        values.try_emplace(name.substr(0, eq), name.substr(eq + 1));
        name.erase(eq);
      }
      b.params.emplace_back(name, e == std::string::npos ? "" : trimmed(rest.substr(e)));
      continue;
    }
    auto filled = fill(rest, values, line);
    if (!filled)
      return tl::unexpected(filled.error());
    rest = *filled;
    Step s;
    s.line = line;
    if (word == "step" || word == "tell" || word == "head") {
      s.what = word == "step" ? Step::Do::step : word == "tell" ? Step::Do::tell : Step::Do::head;
      s.text = rest;
    } else if (word == "get" || word == "getall" || word == "post") {
      s.what = word == "get" ? Step::Do::get : word == "getall" ? Step::Do::getall : Step::Do::post;
      const auto e = rest.find(' ');
      s.path = rest.substr(0, e);
      if (e != std::string::npos)
        s.body = trimmed(rest.substr(e));
      if (s.path.empty() || s.path[0] != '/')
        return at(line, "a call needs a path");
      called = true;
    } else if (word == "pause") {
      s.what = Step::Do::pause;
      s.within = Duration(std::atoi(rest.c_str()) * 1000);
    } else if (word == "expect" || word == "await") {
      s.what = word == "expect" ? Step::Do::expect : Step::Do::await;
      if (!called)
        return at(line, "nothing was called that could be observed");
      if (word == "await") {
        const auto e = rest.find(' ');
        s.within = Duration(std::atoi(rest.substr(0, e).c_str()) * 1000);
        if (s.within <= Duration(0) || e == std::string::npos)
          return at(line, "await needs seconds");
        rest = trimmed(rest.substr(e));
      }
      auto o = parseObservation(rest);
      if (!o)
        return at(line, o.error().message);
      s.see = *o;
      s.status = o->field == "status";
    } else {
      return at(line, "unknown word '" + word + "'");
    }
    b.steps.push_back(std::move(s));
  }
  if (b.steps.empty())
    return makeError(ErrorCode::unavailable, "no step in it");
  return b;
}

std::map<std::string, std::string> sampleValues(const std::string& text) {
  std::map<std::string, std::string> out;
  std::istringstream in(text);
  std::string word;
  std::string name;
  for (std::string line; std::getline(in, line);) {
    std::istringstream l(line);
    if (l >> word >> name && word == "param" && name.find('=') == std::string::npos)
      out[name] = "sample";
  }
  return out;
}

int runRunbook(const Runbook& b, const RunbookPorts& io, bool dry) {
  io.print(b.title + (dry ? " (dry run: nothing is called)" : ""));
  std::vector<std::string> answers;
  std::vector<std::string> statuses;
  std::vector<std::pair<std::string, std::string>> heads;
  Call last;
  bool lastAll = false;
  int n = 0;
  auto call = [&](const Call& c, bool all) {
    answers.clear();
    statuses.clear();
    auto take = [&](const Result<Called>& r) {
      answers.push_back(r ? r->body : "{}");
      statuses.push_back("{\"status\":" + std::to_string(r ? r->status : 0) + "}");
      if (!r)
        io.print("     " + r.error().message);
    };
    if (all)
      for (auto& r : io.all(c))
        take(r);
    else
      take(io.any(c));
  };
  for (auto& s : b.steps)
    switch (s.what) {
      case Step::Do::step:
        io.print(std::to_string(++n) + ". " + s.text);
        break;
      case Step::Do::tell:
        io.print("     " + s.text);
        break;
      case Step::Do::head: {
        const auto e = s.text.find(' ');
        heads.emplace_back(s.text.substr(0, e), e == std::string::npos ? "" : trimmed(s.text.substr(e)));
        break;
      }
      case Step::Do::pause:
        if (!dry)
          io.sleepFor(s.within);
        break;
      case Step::Do::get:
      case Step::Do::getall:
      case Step::Do::post: {
        last = Call{s.what == Step::Do::post ? "POST" : "GET", s.path, s.body, heads};
        heads.clear();
        lastAll = s.what == Step::Do::getall;
        io.print("     " + last.method + " " + last.path + (last.body.empty() ? "" : " " + last.body.substr(0, 100)));
        if (dry)
          break;
        if (!last.body.empty() && last.body[0] == '@') {
          auto f = config::readFile(last.body.substr(1));
          if (!f) {
            io.print("stopped at line " + std::to_string(s.line) + ": " + f.error().message);
            return 1;
          }
          last.body = *f;
        }
        call(last, lastAll);
        break;
      }
      case Step::Do::expect:
      case Step::Do::await: {
        const auto want = s.see.field + " " + s.see.op + " " + s.see.value;
        if (dry) {
          io.print("     would look for: " + want);
          break;
        }
        const auto end = io.now() + s.within;
        auto& what = s.status ? statuses : answers;
        while (!meets(s.see, what) && s.what == Step::Do::await && io.now() < end) {
          io.sleepFor(Duration(300));
          call(last, lastAll);
        }
        if (!meets(s.see, what)) {
          io.print("stopped at line " + std::to_string(s.line) + ": wanted " + want + ", saw " + seen(s.see, what));
          for (auto& a : answers)
            io.print("     answer: " + a.substr(0, 300));
          return 1;
        }
        io.print("     seen: " + want);
        break;
      }
    }
  io.print("done");
  return 0;
}
}  // namespace zinccleat::operations
