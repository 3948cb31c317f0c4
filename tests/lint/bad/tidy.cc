// Faults that clang-tidy must find: tools/lint reads the lines that begin with "finds"
// and fails if a check named there is silent, since it would then not be running.
// finds: bugprone-use-after-move
// finds: performance-unnecessary-value-param
// finds: modernize-use-using
// finds: readability-identifier-naming
// finds: readability-function-size
// finds: readability-function-cognitive-complexity
#include <string>
#include <utility>

struct lower_case_type {};

typedef std::string Text;

size_t Length(std::string text) { return text.size(); }

std::string UsesWhatItMovedAway(std::string text) {
  std::string taken = std::move(text);
  return taken + text;
}

int TooDeep(int depth) {
  int found = 0;
  for (int level0 = 0; level0 < depth; ++level0) {
    for (int level1 = 0; level1 < depth; ++level1) {
      for (int level2 = 0; level2 < depth; ++level2) {
        for (int level3 = 0; level3 < depth; ++level3) {
          for (int level4 = 0; level4 < depth; ++level4) {
            for (int level5 = 0; level5 < depth; ++level5) {
              for (int level6 = 0; level6 < depth; ++level6) {
                for (int level7 = 0; level7 < depth; ++level7) {
                  for (int level8 = 0; level8 < depth; ++level8) {
                    for (int level9 = 0; level9 < depth; ++level9) {
                      for (int level10 = 0; level10 < depth; ++level10) {
                        for (int level11 = 0; level11 < depth; ++level11) {
                          ++found;
                        }
                      }
                    }
                  }
                }
              }
            }
          }
        }
      }
    }
  }
  // A function of more lines than are allowed.
  found += 0;
  found += 1;
  found += 2;
  found += 3;
  found += 4;
  found += 5;
  found += 6;
  found += 7;
  found += 8;
  found += 9;
  found += 10;
  found += 11;
  found += 12;
  found += 13;
  found += 14;
  found += 15;
  found += 16;
  found += 17;
  found += 18;
  found += 19;
  found += 20;
  found += 21;
  found += 22;
  found += 23;
  found += 24;
  found += 25;
  found += 26;
  found += 27;
  found += 28;
  found += 29;
  found += 30;
  found += 31;
  found += 32;
  found += 33;
  found += 34;
  found += 35;
  found += 36;
  found += 37;
  found += 38;
  found += 39;
  found += 40;
  found += 41;
  found += 42;
  found += 43;
  found += 44;
  found += 45;
  found += 46;
  found += 47;
  found += 48;
  found += 49;
  found += 50;
  found += 51;
  found += 52;
  found += 53;
  found += 54;
  found += 55;
  found += 56;
  found += 57;
  found += 58;
  found += 59;
  found += 60;
  found += 61;
  found += 62;
  found += 63;
  found += 64;
  found += 65;
  found += 66;
  found += 67;
  found += 68;
  found += 69;
  found += 70;
  found += 71;
  found += 72;
  found += 73;
  found += 74;
  found += 75;
  found += 76;
  found += 77;
  found += 78;
  found += 79;
  found += 80;
  found += 81;
  found += 82;
  found += 83;
  found += 84;
  found += 85;
  found += 86;
  found += 87;
  found += 88;
  found += 89;
  found += 90;
  found += 91;
  found += 92;
  found += 93;
  found += 94;
  found += 95;
  found += 96;
  found += 97;
  found += 98;
  found += 99;
  found += 100;
  found += 101;
  found += 102;
  found += 103;
  found += 104;
  found += 105;
  found += 106;
  found += 107;
  found += 108;
  found += 109;
  found += 110;
  found += 111;
  found += 112;
  found += 113;
  found += 114;
  found += 115;
  found += 116;
  found += 117;
  found += 118;
  found += 119;
  found += 120;
  found += 121;
  found += 122;
  found += 123;
  found += 124;
  found += 125;
  found += 126;
  found += 127;
  found += 128;
  found += 129;
  found += 130;
  found += 131;
  found += 132;
  found += 133;
  found += 134;
  found += 135;
  found += 136;
  found += 137;
  found += 138;
  found += 139;
  found += 140;
  found += 141;
  found += 142;
  found += 143;
  found += 144;
  found += 145;
  found += 146;
  found += 147;
  found += 148;
  found += 149;
  found += 150;
  found += 151;
  found += 152;
  found += 153;
  found += 154;
  found += 155;
  found += 156;
  found += 157;
  found += 158;
  found += 159;
  return found;
}
