// Runbooks that can be executed: steps and the observations they expect stand in a plain file.
#pragma once
#include "operations/call.hpp"
#include "operations/observe.hpp"
namespace zinccleat::operations {
struct Step {
  enum class Do { step, tell, get, getall, post, head, expect, await, pause } what = Do::step;
  int line = 0;
  std::string text;        // step, tell; head: NAME VALUE
  std::string path, body;  // calls; a body @FILE is read from that file
  Observation see;         // expect, await
  bool status = false;     // the observation is about the call's status
  Duration within{0};      // await, pause
};
struct Runbook {
  std::string title;
  std::vector<std::pair<std::string, std::string>> params;  // name, what for
  std::vector<Step> steps;
};
// Fills {name} from given; a parameter without a value is a fault, so is an unknown word.
Result<Runbook> parseRunbook(const std::string& text, const std::map<std::string, std::string>& given);
// A stand-in value for each parameter that the text declares, to check it without running it.
std::map<std::string, std::string> sampleValues(const std::string& text);
struct RunbookPorts {
  std::function<Result<Called>(const Call&)> any;
  std::function<std::vector<Result<Called>>(const Call&)> all;
  std::function<void(Duration)> sleepFor;
  std::function<void(const std::string&)> print;
  std::function<TimePoint()> now;
};
// 0: all observations were met; 1: one was not, and the rest was left undone.
int runRunbook(const Runbook& b, const RunbookPorts& io, bool dry);

int runbookCommand(const std::string& file, const std::vector<std::string>& sets, bool dry);
int statusCommand(const std::vector<std::string>& addresses, bool json);
}  // namespace zinccleat::operations
