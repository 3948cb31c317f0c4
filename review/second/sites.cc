#include "review/second/sites.h"

namespace oxbow::review {

Site CitraKingston() {
  Site site;
  site.zones = {"kingston", "mobay", "mandeville"};
  site.teams = {{"ops-desk", 0, 0, 0, 0}};
  site.objectives =
      R"({"kind":"wait","class":"finder-live","within_s":1.0,"share":0.96},)"
      R"({"kind":"wait","class":"occupancy-train","within_s":18.0,)"
      R"("share":0.7},)"
      R"({"kind":"wait","class":"occupancy-train","within_s":60.0,)"
      R"("share":0.75},)"
      R"({"kind":"finished","class":"occupancy-train","within_s":350.0,)"
      R"("share":0.9})";
  site.types = {
      {"blue-mahoe", 32, 0, 128, 40, 0.8, 2.35, 0.94, 25, site.zones},
      {"doctor-bird", 48, 4, 192, 80, 0.6, 9.39, 3.43, 35, site.zones}};
  site.workers = {1, 10, 40, 4};
  site.state = {250, 100, 8 * 1024, 24};
  site.cloud = {8, 5, 1};
  return site;
}

Site DunefleetWindhoek() {
  Site site;
  site.zones = {"windhoek", "walvis"};
  site.teams = {{"routing-core", 192, 424, 16, 64},
                {"map-desk", 208, 528, 24, 40},
                {"depot-support", 208, 528, 24, 40}};
  site.objectives =
      R"({"kind":"wait","class":"route-serve","within_s":1.0,"share":0.95},)"
      R"({"kind":"wait","class":"eta-learn","within_s":100.0,"share":0.82},)"
      R"({"kind":"finished","class":"eta-learn","within_s":300.0,)"
      R"("share":0.82})";
  site.types = {
      {"kudu", 32, 0, 64, 30, 0.4, 1.12, 0.46, 25, site.zones},
      {"welwitschia", 64, 8, 384, 50, 0.25, 15.45, 6.2, 50, site.zones}};
  site.workers = {1.5, 10, 50, 6};
  site.state = {250, 100, 8 * 1024, 16};
  site.cloud = {6, 4, 1};
  site.cpu_share = 0.064;
  site.max_sockets = 900;
  return site;
}

}  // namespace oxbow::review
